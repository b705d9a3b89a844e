package lavdispatch

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/services/lavanswer"
	"lavenderswitch/side/services/lavbackend"
	"lavenderswitch/wire/lavwire"
)

const (
	// maxResumes without progress end the tries to read an answer again.
	maxResumes = 8
	// resumePause separates them.
	resumePause = 200 * time.Millisecond
	// maxMissedStates without a reply mean that the engine is gone.
	maxMissedStates = 3
	// maxUnseen reports in a row that name no work mean that a call's answer is lost.
	maxUnseen = 2
	// maxSilence bounds the time between checks of a connection that stays silent.
	maxSilence = 8 * time.Second
)

// reception brings the answer of one dispatched attempt into its buffer.
type reception struct {
	d   *Dispatcher
	run *Run
	// buffer is the run's until its readers are told of a doubt; the outcome is then kept apart.
	buffer  *lavanswer.Buffer
	source  *source
	checker *lavanswer.Checker
	sent    time.Time
	silence time.Duration
	resumes int
	missed  int
	// unseen counts reports in which a plain service works on nothing.
	unseen int
	// notSent says that the backend server was given no byte.
	notSent bool
}

// receive dispatches a committed attempt; it returns the buffer with the outcome, and false when the backend server was given nothing.
func (d *Dispatcher) receive(ctx context.Context, run *Run) (*lavanswer.Buffer, bool) {
	r := d.newReception(run)
	body := run.body
	r.source = d.open(ctx, func(ctx context.Context) (*http.Response, error) { return d.Backend.Dispatch(ctx, run.Attempt, body) })
	r.expectFirstToken()
	r.loop(ctx)
	return r.buffer, !r.notSent
}

func (d *Dispatcher) newReception(run *Run) *reception {
	return &reception{d: d, run: run, buffer: run.Buffer, sent: time.Now(), silence: d.Limits.SilenceTimeout}
}

// resumeAnswer reads the answer of an attempt that an earlier process dispatched.
func (d *Dispatcher) resumeAnswer(ctx context.Context, run *Run) {
	r := d.newReception(run)
	r.resume(ctx)
	r.loop(ctx)
}

func (r *reception) loop(ctx context.Context) {
	defer func() { r.source.cancel() }()
	timer := time.NewTimer(r.silence)
	defer timer.Stop()
	for !r.buffer.View(r.buffer.Length()).Finished() {
		select {
		case <-ctx.Done():
			r.stopped()
		case e := <-r.source.events:
			r.take(ctx, e)
			timer.Reset(r.silence)
		case <-timer.C:
			r.check(ctx)
			timer.Reset(r.silence)
		}
	}
}

// stopped ends a run at its last moment, or when nobody wants its answer any more.
func (r *reception) stopped() {
	r.buffer.Refuse(failed(r.run.Attempt))
	if r.run.onModel() && r.run.Attempt.GetIdempotent() {
		r.cancelAtEngine()
	}
}

func (r *reception) cancelAtEngine() {
	if err := r.d.Backend.Cancel(context.Background(), r.run.id()); err != nil {
		r.d.Log.WithError(err).WithField(lavlog.FieldAttempt, r.run.id()).Info("engine did not take the cancellation; it generates to the end")
	}
}

func (r *reception) take(ctx context.Context, e event) {
	switch {
	case e.response != nil:
		r.takeHead(e.response)
	case e.data != nil:
		r.takeData(ctx, e.data)
	case e.ended:
		r.takeEnd(ctx)
	case errors.Is(e.err, lavbackend.ErrNotSent):
		r.takeNotSent()
	case errors.Is(e.err, lavbackend.ErrStreamUnknown):
		r.d.coldStart(time.Now())
		r.buffer.Refuse(failed(r.run.Attempt))
	default:
		r.recover(ctx)
	}
}

func (r *reception) takeNotSent() {
	r.d.coldStart(time.Now())
	if !r.d.holdings.Revoke(r.run.id(), time.Now()) {
		r.buffer.Refuse(failed(r.run.Attempt))
		return
	}
	r.notSent = true
	r.buffer.Refuse(notRun(lavwire.RefusalKind_REFUSAL_KIND_BACKEND_FAILED, "try another backend server"))
}

// takeHead refuses an answer that must not reach the caller and keeps the head of any other.
func (r *reception) takeHead(response *http.Response) {
	answered := response.Header.Get(lavbackend.HeaderVersion)
	if refusal := judgeHead(r.run.Attempt, response.StatusCode, answered); refusal != nil {
		r.d.Metrics.Count("Discarded", 1)
		r.buffer.Refuse(refusal)
		if refusal.GetKind() == lavwire.RefusalKind_REFUSAL_KIND_WRONG_VERSION {
			r.cancelAtEngine()
		}
		return
	}
	contentType := response.Header.Get("Content-Type")
	if r.checker == nil {
		r.checker = lavanswer.NewChecker(lavanswer.Shape{
			Chat:        r.run.onModel() && response.StatusCode == http.StatusOK,
			Stream:      r.run.Attempt.GetStream(),
			Delimited:   response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked"),
			ContentType: contentType,
		})
	}
	r.buffer.SetHead(&lavwire.Head{
		AttemptId:   r.run.Attempt.GetAttemptId(),
		StatusCode:  int32(response.StatusCode),
		ContentType: contentType,
		VersionId:   answered,
	})
}

// judgeHead returns the refusal that takes the place of an answer, or nil when the answer may reach the caller.
func judgeHead(attempt *lavwire.Attempt, status int, answered string) *lavwire.Refusal {
	if attempt.GetIdempotent() && status >= http.StatusInternalServerError {
		return failed(attempt)
	}
	if attempt.GetVersionId() == "" {
		return nil
	}
	if status == http.StatusNotFound && answered == "" && attempt.GetIdempotent() {
		return notRun(lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_LOADED, "try another backend server")
	}
	if status < http.StatusBadRequest && answered != attempt.GetVersionId() {
		return &lavwire.Refusal{
			Kind:     lavwire.RefusalKind_REFUSAL_KIND_WRONG_VERSION,
			RunState: lavwire.RunState_RUN_STATE_RAN,
			Remedy:   "try another backend server",
		}
	}
	return nil
}

func (r *reception) takeData(ctx context.Context, data []byte) {
	if !r.run.Attempt.GetIdempotent() && r.buffer.Length()+uint64(len(data)) > uint64(r.d.Limits.MaxAnswerBytes) {
		r.d.Log.WithField(lavlog.FieldAttempt, r.run.id()).Error("answer is larger than MaxAnswerBytes; the call stays in doubt")
		r.buffer.Refuse(failed(r.run.Attempt))
		return
	}
	if r.buffer.Append(ctx, data) != nil {
		return
	}
	r.resumes = 0
	r.missed = 0
	r.unseen = 0
	r.silence = r.d.Limits.SilenceTimeout
	r.checker.Write(data)
	r.countTokens(data)
}

func (r *reception) takeEnd(ctx context.Context) {
	usage, whole := r.checker.Check()
	if !whole {
		r.d.Metrics.Count("CutAnswers", 1)
		r.recover(ctx)
		return
	}
	r.tokensOfPlainAnswer(usage)
	r.buffer.Close(usage)
}

// recover reads the rest of a cut answer from an engine; a plain service cannot give it again.
func (r *reception) recover(ctx context.Context) {
	if !r.run.onModel() || r.resumes >= maxResumes {
		r.buffer.Refuse(failed(r.run.Attempt))
		return
	}
	if r.resumes > 0 {
		pause(ctx, resumePause)
	}
	r.resume(ctx)
}

func (r *reception) resume(ctx context.Context) {
	r.resumes++
	r.d.Metrics.Count("Resumes", 1)
	if r.source != nil {
		r.source.cancel()
	}
	from := r.buffer.Length()
	r.source = r.d.open(ctx, func(ctx context.Context) (*http.Response, error) { return r.d.Backend.Resume(ctx, r.run.id(), from) })
}

// check decides after a silence whether the backend server still works on the attempt.
func (r *reception) check(ctx context.Context) {
	state, err := r.d.Backend.ReadState(ctx)
	if err != nil {
		r.missed++
		if r.missed >= maxMissedStates {
			r.giveUp(ctx)
		}
		return
	}
	r.missed = 0
	if r.run.onModel() {
		r.checkStream(ctx, state)
		return
	}
	r.checkCall(ctx, state)
}

func (r *reception) checkStream(ctx context.Context, state lavbackend.State) {
	if slices.Contains(state.Streams, r.run.id()) {
		r.silence = min(2*r.silence, maxSilence)
		r.resume(ctx)
		r.resumes = 0
		return
	}
	if state.Waiting == 0 && time.Since(r.sent)-state.Age() > r.d.Limits.SilenceTimeout/2 {
		r.d.Backend.DropIdle()
		r.giveUp(ctx)
	}
}

// checkCall gives a call up when the service works on nothing any more, and one that may be repeated also after CallTimeout.
func (r *reception) checkCall(ctx context.Context, state lavbackend.State) {
	r.unseen++
	if state.Running+state.Waiting > 0 {
		r.unseen = 0
	}
	late := r.run.Attempt.GetIdempotent() && time.Since(r.sent) >= r.d.Limits.CallTimeout
	if r.unseen >= maxUnseen || late {
		r.d.Backend.DropIdle()
		r.giveUp(ctx)
	}
}

// giveUp refuses the attempt; the outcome of a call that may not be repeated is still awaited, apart from its readers.
func (r *reception) giveUp(ctx context.Context) {
	if r.run.Attempt.GetIdempotent() {
		r.buffer.Refuse(failed(r.run.Attempt))
		return
	}
	if r.buffer != r.run.Buffer {
		return
	}
	known := r.run.Buffer.View(0)
	r.buffer = lavanswer.New(lavanswer.Options{Budget: r.d.Budget, KeepAll: true})
	if known.Head != nil {
		r.buffer.SetHead(known.Head)
	}
	if r.buffer.Append(ctx, known.Body) == nil {
		r.run.Buffer.Refuse(failed(r.run.Attempt))
	}
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

var eventMark = []byte("data:")

// countTokens reports each event of a stream as one token.
func (r *reception) countTokens(data []byte) {
	permit := r.run.held()
	if permit == nil || !r.run.Attempt.GetStream() {
		return
	}
	permit.Token(max(bytes.Count(data, eventMark), 1), time.Now())
}

// expectFirstToken takes the engine's own report for the first token of an answer that is not streamed.
func (r *reception) expectFirstToken() {
	reported := r.d.reportedFirstToken()
	permit := r.run.held()
	if permit == nil || r.run.Attempt.GetStream() || !r.run.onModel() || reported == 0 {
		return
	}
	permit.Token(1, r.sent.Add(reported))
}

func (r *reception) tokensOfPlainAnswer(usage *lavwire.Usage) {
	permit := r.run.held()
	if permit == nil || r.run.Attempt.GetStream() || !r.run.onModel() || usage.GetOutputTokens() < 2 {
		return
	}
	if r.d.reportedFirstToken() > 0 {
		permit.Token(int(usage.GetOutputTokens()-1), time.Now())
	}
}
