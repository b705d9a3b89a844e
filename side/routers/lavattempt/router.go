package lavattempt

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
	"google.golang.org/protobuf/proto"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/services/lavanswer"
	"lavenderswitch/side/services/lavdispatch"
	"lavenderswitch/wire/lavwire"
)

const (
	// maxAttemptBytes limits the size of one message.
	maxAttemptBytes = 64 << 20
	// readTimeout bounds the time to receive one message, so that a slow sender does not occupy a connection.
	readTimeout = 30 * time.Second
)

// Router serves attempts, attach requests and the Side service.
type Router struct {
	Dispatcher *lavdispatch.Dispatcher
	// HeartbeatInterval is the time between two heartbeat frames of an answer stream.
	HeartbeatInterval time.Duration
	// Bills accepts bills of other hosts for storage. When it is nil, its path does not exist.
	Bills lavwire.Bills
	// Config serves the exchange of configurations between hosts. When it is nil, its path does not exist.
	Config http.Handler

	readers atomic.Int64
}

// Routes returns the handler of all paths.
func (r *Router) Routes() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, "/attempt", r.attempt)
	router.HandlerFunc(http.MethodPost, "/attach", r.attach)
	router.HandlerFunc(http.MethodGet, "/ready", r.ready)
	side := lavwire.NewSideServer(&sideService{dispatcher: r.Dispatcher})
	router.Handler(http.MethodPost, side.PathPrefix()+"*method", side)
	if r.Bills != nil {
		bills := lavwire.NewBillsServer(r.Bills)
		router.Handler(http.MethodPost, bills.PathPrefix()+"*method", bills)
	}
	if r.Config != nil {
		router.Handler(http.MethodPost, lavwire.ConfigPathPrefix+"*method", r.Config)
	}
	return router
}

// Readers returns the number of answer streams that are being written.
func (r *Router) Readers() int {
	return int(r.readers.Load())
}

func (r *Router) ready(w http.ResponseWriter, _ *http.Request) {
	if r.Dispatcher.Leaving() {
		lavhttp.WriteError(w, laverror.New(laverror.KindShuttingDown, "side process is draining", "use another backend server"))
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (r *Router) attempt(w http.ResponseWriter, request *http.Request) {
	attempt := &lavwire.Attempt{}
	if !readMessage(w, request, attempt) {
		return
	}
	run := r.Dispatcher.Start(attempt, time.Now())
	r.stream(w, request, run, 0)
}

func (r *Router) attach(w http.ResponseWriter, request *http.Request) {
	attach := &lavwire.Attach{}
	if !readMessage(w, request, attach) {
		return
	}
	run, ok := r.Dispatcher.Attach(request.Context(), attach, time.Now())
	if !ok {
		run = &lavdispatch.Run{Buffer: lavanswer.NewBuffer()}
		run.Buffer.Refuse(&lavwire.Refusal{
			Kind:     lavwire.RefusalKind_REFUSAL_KIND_ATTEMPT_UNKNOWN,
			RunState: lavwire.RunState_RUN_STATE_IN_DOUBT,
			Remedy:   "seal the attempt before sending it again",
		})
	}
	r.stream(w, request, run, attach.GetOffset())
}

// readMessage reads a protobuf message from the body of a request and reports whether that succeeded. After a failure it
// has written an error reply.
func readMessage(w http.ResponseWriter, request *http.Request, message proto.Message) bool {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(readTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxAttemptBytes))
	if err == nil {
		err = proto.Unmarshal(data, message)
	}
	if err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "decode protobuf message: "+err.Error(), "send a complete protobuf message"))
		return false
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return true
}
