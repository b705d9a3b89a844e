package lavattempt

import (
	"io"
	"net/http"
	"time"

	"lavenderswitch/core/modules/lavframe"
	"lavenderswitch/core/services/lavanswer"
	"lavenderswitch/side/services/lavdispatch"
	"lavenderswitch/wire/lavwire"
)

const (
	// maxChunkBytes keeps a frame well below lavframe.MaxFrameBytes.
	maxChunkBytes = 256 << 10
	// writeTimeout ends a stream whose reader does not receive. The reader can attach again.
	writeTimeout = 30 * time.Second
)

// stream writes the frames of an answer, starting at offset, until the answer ends or the reader disconnects.
func (r *Router) stream(w http.ResponseWriter, request *http.Request, run *lavdispatch.Run, offset uint64) {
	r.readers.Add(1)
	defer r.readers.Add(-1)
	run.AddReader()
	defer func() { run.RemoveReader(time.Now()) }()
	w.Header().Set("Content-Type", lavframe.ContentType)
	writer := &frameWriter{w: w, controller: http.NewResponseController(w), load: r.Dispatcher.Load}
	ticker := time.NewTicker(r.HeartbeatInterval)
	defer ticker.Stop()
	writer.writeFirstHeartbeat()
	for headSent := false; writer.err == nil; {
		view := run.Buffer.View(offset)
		if view.Head != nil && !headSent {
			writer.write(&lavwire.Frame{Kind: &lavwire.Frame_Head{Head: view.Head}})
			headSent = true
		}
		offset = writer.writeBody(view, offset)
		run.Buffer.Consumed(offset)
		if view.Finished() || view.Gone {
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

// frameWriter numbers frames and writes them. After the first failed write, err is set and further frames are dropped.
type frameWriter struct {
	w          io.Writer
	controller *http.ResponseController
	load       func() *lavwire.Load
	sequence   uint64
	err        error
}

// writeFirstHeartbeat writes a heartbeat before any part of the answer, which shows the reader that the connection
// works.
func (f *frameWriter) writeFirstHeartbeat() {
	f.write(&lavwire.Frame{Kind: &lavwire.Frame_Heartbeat{Heartbeat: &lavwire.Heartbeat{}}})
}

// write writes a frame and flushes it. The first frame, heartbeats and the last frame carry the current load.
func (f *frameWriter) write(frame *lavwire.Frame) {
	if f.err != nil {
		return
	}
	f.sequence++
	frame.Sequence = f.sequence
	if f.sequence == 1 || frame.GetHeartbeat() != nil || frame.GetEnd() != nil || frame.GetRefusal() != nil {
		frame.Load = f.load()
	}
	_ = f.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	f.err = lavframe.Write(f.w, frame)
	if f.err == nil {
		f.err = f.controller.Flush()
	}
}

// writeBody writes the body of a view in chunks and returns the offset of the byte after it.
func (f *frameWriter) writeBody(view lavanswer.View, offset uint64) uint64 {
	body := view.Body
	for len(body) > 0 && f.err == nil {
		data := body[:min(len(body), maxChunkBytes)]
		f.write(&lavwire.Frame{Kind: &lavwire.Frame_Chunk{Chunk: &lavwire.Chunk{Offset: offset, Data: data}}})
		offset += uint64(len(data))
		body = body[len(data):]
	}
	return offset
}

func (f *frameWriter) writeEnd(view lavanswer.View) {
	switch {
	case view.Gone:
		f.write(&lavwire.Frame{Kind: &lavwire.Frame_Refusal{Refusal: evictedAnswerRefusal()}})
	case view.Refusal != nil:
		f.write(&lavwire.Frame{Kind: &lavwire.Frame_Refusal{Refusal: view.Refusal}})
	default:
		f.write(&lavwire.Frame{Kind: &lavwire.Frame_End{End: view.End}})
	}
}

// evictedAnswerRefusal returns the refusal for a reader that requests bytes that are no longer buffered.
func evictedAnswerRefusal() *lavwire.Refusal {
	return &lavwire.Refusal{
		Kind:     lavwire.RefusalKind_REFUSAL_KIND_ATTEMPT_UNKNOWN,
		RunState: lavwire.RunState_RUN_STATE_IN_DOUBT,
		Remedy:   "send a new attempt",
	}
}
