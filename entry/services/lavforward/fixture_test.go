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
	"lavenderswitch/core/services/lavload"
)

const (
	service = lavid.ServiceID("engines")
	small   = lavid.ModelID("small")
	large   = lavid.ModelID("large")
)

// world is a forwarder before scripted backend servers.
type fixture struct {
	*Forwarder
	directory *lavdirectory.Directory

	// before is called at each send, which waits for it.
	before func(ctx context.Context, dispatch Dispatch)

	mu      sync.Mutex
	sends   []Dispatch
	replies []func(Dispatch) (*Reply, error)
}

// newWorld returns a world of count servers, whose answers are given in the order of the sends.
func newFixture(count int, replies ...func(Dispatch) (*Reply, error)) *fixture {
	w := &fixture{replies: replies}
	w.directory = lavdirectory.New(lavdirectory.Settings{ReturnGrace: 2 * time.Second, OutageGap: 3 * time.Second})
	w.list(count, 0)
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := lavring.Member{ID: "host-a", DataCentre: "centre-a"}
	w.Forwarder = New(Settings{ColdOverage: 1, RepeatShare: 0.7, RepeatSlack: 10, RepeatWindow: 10 * time.Second}, Dependencies{
		Directory:  w.directory,
		Loads:      lavload.New(),
		Cold:       lavcold.New(self.ID),
		Releases:   lavcutover.New(lavcutover.Settings{}),
		Hosts:      hosts{self},
		Sender:     w,
		DataCentre: self.DataCentre,
		Metrics:    NewMetrics(prometheus.NewRegistry()),
		Log:        log,
		Clock:      time.Now,
	})
	return w
}

func (w *fixture) list(count int, cold time.Duration) {
	servers := make([]lavserver.Server, 0, count)
	for i := range count {
		servers = append(servers, lavserver.Server{
			ID: lavid.BackendServerID(string(rune('a' + i))), Service: service, Address: "127.0.0.1:1",
			DataCentre: "centre-a", Release: "v1", Slots: 8, ColdFor: cold,
		})
	}
	w.directory.Read(servers, time.Now())
}

type hosts []lavring.Member

func (h hosts) Hosts(time.Time) []lavring.Member { return h }

// Send plays the next line of the script.
func (w *fixture) Send(ctx context.Context, dispatch Dispatch) (*Reply, error) {
	if w.before != nil {
		w.before(ctx, dispatch)
		if ctx.Err() != nil {
			return nil, lavexchange.ErrExchange{Sent: true, Reason: "given up"}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sends = append(w.sends, dispatch)
	if len(w.sends) > len(w.replies) {
		return nil, lavexchange.ErrExchange{Sent: true, Reason: "script is over"}
	}
	return w.replies[len(w.sends)-1](dispatch)
}

func (w *fixture) serve(request *Request) (*recordedAnswer, Result) {
	answer := &recordedAnswer{}
	result := w.Serve(context.Background(), request, answer)
	return answer, result
}

// recorded keeps what a caller received.
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
	asked := newRequest(lavroute.Streaming)
	asked.Service.Engine = &lavroute.Engine{Slots: 8, Capacity: 100000, EventTokens: 3}
	asked.Route.Models = []lavid.ModelID{small, large}
	return asked
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
