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
type world struct {
	*Forwarder
	directory *lavdirectory.Directory

	// before is called at each send, which waits for it.
	before func(ctx context.Context, dispatch Dispatch)

	mu     sync.Mutex
	sends  []Dispatch
	script []func(Dispatch) (*Reply, error)
}

// newWorld returns a world of count servers, whose answers are given in the order of the sends.
func newWorld(count int, script ...func(Dispatch) (*Reply, error)) *world {
	w := &world{script: script}
	w.directory = lavdirectory.New(lavdirectory.Settings{ReturnGrace: 2 * time.Second, OutageGap: 3 * time.Second})
	w.list(count, 0)
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := lavring.Member{ID: "host-a", DataCentre: "centre-a"}
	w.Forwarder = New(Settings{ColdOverage: 1, RepeatShare: 0.7, RepeatSlack: 10, RepeatWindow: 10 * time.Second}, Parts{
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

func (w *world) list(count int, cold time.Duration) {
	servers := make([]lavserver.Server, 0, count)
	for i := range count {
		servers = append(servers, lavserver.Server{
			ID: lavid.BackendServerID(string(rune('a' + i))), Service: service, Address: "127.0.0.1:1",
			DataCentre: "centre-a", Release: "v1", Slots: 8, ColdFor: cold,
		})
	}
	w.directory.ApplyListing(servers, time.Now())
}

type hosts []lavring.Member

func (h hosts) Hosts(time.Time) []lavring.Member { return h }

// Send plays the next line of the script.
func (w *world) Send(ctx context.Context, dispatch Dispatch) (*Reply, error) {
	if w.before != nil {
		w.before(ctx, dispatch)
		if ctx.Err() != nil {
			return nil, lavexchange.ErrExchange{Sent: true, Reason: "given up"}
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sends = append(w.sends, dispatch)
	if len(w.sends) > len(w.script) {
		return nil, lavexchange.ErrExchange{Sent: true, Reason: "script is over"}
	}
	return w.script[len(w.sends)-1](dispatch)
}

func (w *world) serve(request *Request) (*recorded, Result) {
	answer := &recorded{}
	result := w.Serve(context.Background(), request, answer)
	return answer, result
}

// recorded keeps what a caller received.
type recorded struct {
	status int
	body   bytes.Buffer
}

func (r *recorded) Begin(status int, _ http.Header, _ int) error {
	r.status = status
	return nil
}

func (r *recorded) Write(data []byte) error {
	r.body.Write(data)
	return nil
}

func request(kind lavroute.Kind) *Request {
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

func cascade() *Request {
	asked := request(lavroute.Streaming)
	asked.Service.Engine = &lavroute.Engine{Slots: 8, Capacity: 100000, EventTokens: 3}
	asked.Route.Models = []lavid.ModelID{small, large}
	return asked
}

func answers(status int, body string) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		return &Reply{Status: status, Header: http.Header{}, Genuine: true, Body: io.NopCloser(bytes.NewBufferString(body))}, nil
	}
}

func confident(confidence int, body string) func(Dispatch) (*Reply, error) {
	return func(dispatch Dispatch) (*Reply, error) {
		reply, err := answers(http.StatusOK, body)(dispatch)
		reply.Confidence, reply.HasConfidence = confidence, true
		return reply, err
	}
}

func breaks(body string) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		broken := io.MultiReader(bytes.NewBufferString(body), failing{})
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Genuine: true, Body: io.NopCloser(broken)}, nil
	}
}

type failing struct{}

func (failing) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

func refuses(status int) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		return &Reply{Status: status, Header: http.Header{}, NotRun: true, Body: io.NopCloser(&bytes.Buffer{})}, nil
	}
}

func loses(sent bool) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		return nil, lavexchange.ErrExchange{Sent: sent, Reason: "connection reset"}
	}
}
