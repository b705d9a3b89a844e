package lavengine

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
)

const (
	headerAttempt  = "Lavender-Attempt"
	headerRequest  = "Lavender-Request"
	headerPriority = "Lavender-Priority"
	headerVersion  = "Lavender-Version"

	// streamRetention is how long a finished stream can be resumed.
	streamRetention = time.Minute
)

// stream holds an answer while it is generated and for at least streamRetention afterwards. Any number of readers can read it.
type stream struct {
	version     lavid.VersionID
	contentType string
	context     context.Context //nolint:containedctx // ends with the answer, not with a call
	cancel      context.CancelFunc
	mu          sync.Mutex
	body        []byte
	ended       bool
	failed      bool
	endedAt     time.Time
	changed     chan struct{}
}

// streamView is the state of a stream and its body from an offset. changed is closed at the next change.
type streamView struct {
	body    []byte
	ended   bool
	failed  bool
	changed <-chan struct{}
}

func newStream(version lavid.VersionID, contentType string, cancel context.CancelFunc) *stream {
	return &stream{version: version, contentType: contentType, cancel: cancel, changed: make(chan struct{})}
}

// update makes a change and notifies the readers.
func (s *stream) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) append(data []byte) {
	s.update(func() { s.body = append(s.body, data...) })
}

func (s *stream) end(failed bool, now time.Time) {
	s.update(func() {
		s.ended = true
		s.failed = failed
		s.endedAt = now
	})
}

func (s *stream) view(from int) streamView {
	s.mu.Lock()
	defer s.mu.Unlock()
	from = min(from, len(s.body))
	return streamView{body: s.body[from:len(s.body):len(s.body)], ended: s.ended, failed: s.failed, changed: s.changed}
}

// copyTo writes the answer from a byte offset until it ends. A failed answer aborts the connection.
func (s *stream) copyTo(w http.ResponseWriter, request *http.Request, from int) {
	w.Header().Set("Content-Type", s.contentType)
	w.Header().Set(headerVersion, string(s.version))
	flush := http.NewResponseController(w)
	for {
		view := s.view(from)
		if len(view.body) > 0 {
			if _, err := w.Write(view.body); err != nil {
				return
			}
			_ = flush.Flush()
			from += len(view.body)
		}
		if view.failed {
			panic(http.ErrAbortHandler)
		}
		if view.ended {
			return
		}
		select {
		case <-request.Context().Done():
			return
		case <-view.changed:
		}
	}
}

func (e *Engine) findStream(attempt string) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	stream, ok := e.streams[lavid.AttemptID(attempt)]
	return stream, ok
}

func (e *Engine) resume(w http.ResponseWriter, request *http.Request, params httprouter.Params) {
	stream, ok := e.findStream(params.ByName("attempt"))
	from, err := strconv.Atoi(request.URL.Query().Get("from"))
	if !ok || err != nil || from < 0 {
		lavhttp.WriteError(w, laverror.New(laverror.KindNotFound, "no such stream", "send the attempt again"))
		return
	}
	stream.copyTo(w, request, from)
}

func (e *Engine) cancel(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	stream, ok := e.findStream(params.ByName("attempt"))
	if !ok {
		lavhttp.WriteError(w, laverror.New(laverror.KindNotFound, "no such stream", "the answer has ended or was never started"))
		return
	}
	stream.cancel()
	w.WriteHeader(http.StatusOK)
}

// dropExpiredStreams removes the streams that ended more than streamRetention ago.
func (e *Engine) dropExpiredStreams(now time.Time) {
	for id, stream := range e.streams {
		stream.mu.Lock()
		old := stream.ended && now.Sub(stream.endedAt) > streamRetention
		stream.mu.Unlock()
		if old {
			delete(e.streams, id)
		}
	}
}
