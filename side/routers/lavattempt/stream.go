package lavattempt

import (
	"io"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"google.golang.org/protobuf/proto"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavframe"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/services/lavanswer"
	"lavenderswitch/side/services/lavdispatch"
	"lavenderswitch/wire/lavwire"
)

const maxAttemptBytes = 64 << 20

// Router answers attempts and attaches.
type Router struct {
	Dispatcher *lavdispatch.Dispatcher
	Heartbeat  time.Duration
}

// Routes returns the handler of every path.
func (r *Router) Routes() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, "/attempt", r.attempt)
	router.HandlerFunc(http.MethodPost, "/attach", r.attach)
	service := lavwire.NewSideServer(&sideService{dispatcher: r.Dispatcher})
	router.Handler(http.MethodPost, service.PathPrefix()+"*method", service)
	return router
}

func (r *Router) attempt(w http.ResponseWriter, request *http.Request) {
	attempt := &lavwire.Attempt{}
	if !readMessage(w, request, attempt) {
		return
	}
	run := r.Dispatcher.Start(attempt, time.Now())
	r.stream(w, request, run.Buffer, 0)
}

func (r *Router) attach(w http.ResponseWriter, request *http.Request) {
	attach := &lavwire.Attach{}
	if !readMessage(w, request, attach) {
		return
	}
	run, ok := r.Dispatcher.Find(attach.GetAttemptId())
	if !ok {
		unknown := lavanswer.NewBuffer()
		unknown.Refuse(&lavwire.Refusal{
			Kind:     lavwire.RefusalKind_REFUSAL_KIND_ATTEMPT_UNKNOWN,
			RunState: lavwire.RunState_RUN_STATE_IN_DOUBT,
			Remedy:   "seal the attempt before trying again",
		})
		r.stream(w, request, unknown, 0)
		return
	}
	r.stream(w, request, run.Buffer, attach.GetOffset())
}

func readMessage(w http.ResponseWriter, request *http.Request, message proto.Message) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxAttemptBytes))
	if err == nil {
		err = proto.Unmarshal(data, message)
	}
	if err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "attempt is not readable: "+err.Error(), "send a whole protobuf message"))
		return false
	}
	return true
}

// stream writes frames from offset on until the answer ends or the reader is gone.
func (r *Router) stream(w http.ResponseWriter, request *http.Request, buffer *lavanswer.Buffer, offset uint64) {
	w.Header().Set("Content-Type", lavframe.ContentType)
	writer := &frameWriter{w: w, flush: http.NewResponseController(w), load: r.Dispatcher.Load}
	ticker := time.NewTicker(r.Heartbeat)
	defer ticker.Stop()
	headSent := false
	for {
		view := buffer.View(offset)
		if view.Head != nil && !headSent {
			writer.write(&lavwire.Frame{Kind: &lavwire.Frame_Head{Head: view.Head}})
			headSent = true
		}
		if len(view.Body) > 0 {
			writer.write(&lavwire.Frame{Kind: &lavwire.Frame_Chunk{Chunk: &lavwire.Chunk{Offset: offset, Data: view.Body}}})
			offset += uint64(len(view.Body))
		}
		if view.Finished() {
			writer.writeEnd(view)
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-view.Changed:
		case <-ticker.C:
			writer.write(&lavwire.Frame{Kind: &lavwire.Frame_Heartbeat{Heartbeat: &lavwire.Heartbeat{}}})
		}
	}
}

type frameWriter struct {
	w        io.Writer
	flush    *http.ResponseController
	load     func() *lavwire.Load
	sequence uint64
}

func (f *frameWriter) write(frame *lavwire.Frame) {
	f.sequence++
	frame.Sequence = f.sequence
	if f.sequence == 1 || frame.GetHeartbeat() != nil || frame.GetEnd() != nil || frame.GetRefusal() != nil {
		frame.Load = f.load()
	}
	if lavframe.Write(f.w, frame) == nil {
		_ = f.flush.Flush()
	}
}

func (f *frameWriter) writeEnd(view lavanswer.View) {
	if view.Refusal != nil {
		f.write(&lavwire.Frame{Kind: &lavwire.Frame_Refusal{Refusal: view.Refusal}})
		return
	}
	f.write(&lavwire.Frame{Kind: &lavwire.Frame_End{End: view.End}})
}
