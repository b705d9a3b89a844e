package lavforward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/modules/lavexchange"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavcold"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavdirectory"
	"lavenderswitch/core/services/lavforecast"
	"lavenderswitch/core/services/lavholding"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/core/services/lavquarantine"
	"lavenderswitch/core/services/lavrate"
)

const (
	service = lavid.ServiceID("engines")
	small   = lavid.ModelID("small")
	large   = lavid.ModelID("large")
)

// fixture is a forwarder whose backend servers reply from a script.
type fixture struct {
	*Forwarder
	directory *lavdirectory.Directory

	// beforeSend is called before each send and may block it.
	beforeSend func(ctx context.Context, dispatch Dispatch)

	mu      sync.Mutex
	sends   []Dispatch
	replies []func(Dispatch) (*Reply, error)
}

// newFixture returns a fixture with count servers. The replies are given in the order of the sends, by whichever server is
// chosen.
func newFixture(count int, replies ...func(Dispatch) (*Reply, error)) *fixture {
	f := &fixture{replies: replies}
	f.directory = lavdirectory.New(lavdirectory.Settings{ReturnGrace: 2 * time.Second, OutageGap: 3 * time.Second})
	f.listServers(count, 0)
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := lavring.Member{ID: "host-a", DataCentre: "centre-a"}
	f.Forwarder = New(Settings{HeldBytes: 1 << 20, ColdOverage: 1, RepeatShare: 0.7, RepeatSlack: 10, RepeatWindow: 10 * time.Second, BufferBytes: 16 << 20}, Dependencies{
		Directory:  f.directory,
		Loads:      lavload.New(),
		Forecasts:  lavforecast.New(),
		Cold:       lavcold.New(self.ID),
		Limits:     lavrate.New(self.ID),
		Holdings:   lavholding.New(),
		Quarantine: lavquarantine.New(),
		HostID:     self.ID,
		Releases:   lavcutover.New(lavcutover.Settings{}),
		Hosts:      hosts{self},
		Sender:     f,
		DataCentre: self.DataCentre,
		Metrics:    NewMetrics(prometheus.NewRegistry()),
		Log:        log,
		Clock:      time.Now,
	})
	return f
}

func (f *fixture) listServers(count int, cold time.Duration) {
	servers := make([]lavserver.Server, 0, count)
	for i := range count {
		servers = append(servers, lavserver.Server{
			ID: lavid.BackendServerID(string(rune('a' + i))), Service: service, Address: "127.0.0.1:1",
			DataCentre: "centre-a", Release: "v1", Slots: 8, ColdFor: cold,
		})
	}
	f.directory.ApplyListing(servers, time.Now())
}

type hosts []lavring.Member

func (h hosts) Hosts(time.Time) []lavring.Member { return h }

// Send returns the next scripted reply.
func (f *fixture) Send(ctx context.Context, dispatch Dispatch) (*Reply, error) {
	if f.beforeSend != nil {
		f.beforeSend(ctx, dispatch)
		if ctx.Err() != nil {
			return nil, lavexchange.ErrExchange{Sent: true, Reason: "cancelled"}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sends = append(f.sends, dispatch)
	if len(f.sends) > len(f.replies) {
		return nil, lavexchange.ErrExchange{Sent: true, Reason: "script has ended"}
	}
	return f.replies[len(f.sends)-1](dispatch)
}

func (f *fixture) serve(request *Request) (*recordedAnswer, Result) {
	answer := &recordedAnswer{}
	result := f.Serve(context.Background(), request, answer)
	return answer, result
}

// recordedAnswer records the answer that a caller receives.
type recordedAnswer struct {
	status int
	body   bytes.Buffer
}

func (r *recordedAnswer) Begin(status int, _ http.Header, _ int) error {
	r.status = status
	return nil
}

func (r *recordedAnswer) Write(data []byte) error {
	r.body.Write(data)
	return nil
}

func (r *recordedAnswer) Abort() {}

func newRequest(kind lavroute.Kind) *Request {
	now := time.Now()
	return &Request{
		ID:       "request-1",
		Route:    &lavroute.Route{Name: "route", Kind: kind, Attempts: 3, Resumable: true, LatencyTarget: time.Second, PauseTarget: time.Second},
		Service:  &lavroute.Service{ID: service, ColdRate: 2},
		Method:   http.MethodPost,
		Header:   http.Header{},
		Arrived:  now,
		Deadline: now.Add(5 * time.Second),
	}
}

func newCascadeRequest() *Request {
	request := newRequest(lavroute.Streaming)
	request.Service.Engine = &lavroute.Engine{Slots: 8, Capacity: 100000, EventTokens: 3}
	request.Route.Models = []lavid.ModelID{small, large}
	return request
}

func replyWith(status int, body string) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		return &Reply{Status: status, Header: http.Header{}, Signed: true, Body: io.NopCloser(bytes.NewBufferString(body))}, nil
	}
}

func replyWithConfidence(confidence int, body string) func(Dispatch) (*Reply, error) {
	return func(dispatch Dispatch) (*Reply, error) {
		reply, err := replyWith(http.StatusOK, body)(dispatch)
		reply.Confidence, reply.HasConfidence = confidence, true
		return reply, err
	}
}

func breakAfter(body string) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		broken := io.MultiReader(bytes.NewBufferString(body), failingReader{})
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Signed: true, Body: io.NopCloser(broken)}, nil
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func refuseWith(status int) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		return &Reply{Status: status, Header: http.Header{}, NotRun: true, Body: io.NopCloser(&bytes.Buffer{})}, nil
	}
}

func loseSend(sent bool) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		return nil, lavexchange.ErrExchange{Sent: sent, Reason: "connection reset"}
	}
}
