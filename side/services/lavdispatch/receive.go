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
	// maxFruitlessResumes bounds the resumes of an answer in a row that bring no new data.
	maxFruitlessResumes = 8
	// resumePause is the pause between resumes.
	resumePause = 200 * time.Millisecond
	// maxMissedStates is the number of failed state reads in a row after which the backend server is assumed to be gone.
	maxMissedStates = 3
	// maxIdleReports is the number of state reports in a row without work after which a call's answer is assumed to be lost.
	maxIdleReports = 2
	// maxSilenceTimeout bounds the time between checks of a silent connection.
	maxSilenceTimeout = 8 * time.Second
)

// receiver writes the answer of one dispatched attempt into its buffer.
type receiver struct {
	dispatcher *Dispatcher
	run        *Run
	// buffer is the run's buffer. After the readers of a non-idempotent call were refused, it is a separate one that still
	// receives the outcome.
	buffer   *lavanswer.Buffer
	response *responseReader
	checker  *lavanswer.Checker
	sentAt   time.Time
	// silenceTimeout is the time without data after which the backend server's state is checked.
	silenceTimeout time.Duration
	// resumes counts the resumes since the last data or since a state listed the stream, and missedStates the failed state
	// reads in a row.
	resumes      int
	missedStates int
	// idleReports counts the state reports in a row in which a plain service has no work.
	idleReports int
	// notSent reports whether no byte of the attempt reached the backend server.
	notSent bool
}

// receive dispatches a committed attempt. It returns the buffer with the outcome, and false when no byte of the attempt
// reached the backend server.
func (d *Dispatcher) receive(ctx context.Context, run *Run) (*lavanswer.Buffer, bool) {
	r := d.newReceiver(run)
	body := run.body
	r.response = d.openResponse(ctx, func(ctx context.Context) (*http.Response, error) { return d.Backend.Dispatch(ctx, run.Attempt, body) })
	r.recordReportedFirstToken()
	r.loop(ctx)
	return r.buffer, !r.notSent
}

func (d *Dispatcher) newReceiver(run *Run) *receiver {
	return &receiver{dispatcher: d, run: run, buffer: run.Buffer, sentAt: time.Now(), silenceTimeout: d.Limits.SilenceTimeout}
}

// resumeAnswer reads the answer of an attempt that an earlier process dispatched.
func (d *Dispatcher) resumeAnswer(ctx context.Context, run *Run) {
	r := d.newReceiver(run)
	r.resume(ctx)
	r.loop(ctx)
}

func (r *receiver) loop(ctx context.Context) {
	defer func() { r.response.cancel() }()
	timer := time.NewTimer(r.silenceTimeout)
	defer timer.Stop()
	for !r.buffer.View(r.buffer.Length()).Finished() {
		select {
		case <-ctx.Done():
			r.handleStop()
		case e := <-r.response.events:
			r.handle(ctx, e)
			timer.Reset(r.silenceTimeout)
		case <-timer.C:
			r.checkProgress(ctx)
			timer.Reset(r.silenceTimeout)
		}
	}
}

// handleStop ends the run at its deadline or after it was cancelled.
func (r *receiver) handleStop() {
	r.buffer.Refuse(backendFailed(r.run.Attempt))
	if r.run.usesModel() && r.run.Attempt.GetIdempotent() {
		r.cancelAtEngine()
	}
}

func (r *receiver) cancelAtEngine() {
	if err := r.dispatcher.Backend.Cancel(context.Background(), r.run.id()); err != nil {
		r.dispatcher.Log.WithError(err).WithField(lavlog.FieldAttempt, r.run.id()).Info("cannot cancel the generation at the engine; the engine generates the answer to its end")
	}
}

func (r *receiver) handle(ctx context.Context, e responseEvent) {
	switch {
	case e.response != nil:
		r.handleHead(e.response)
	case e.data != nil:
		r.handleData(ctx, e.data)
	case e.ended:
		r.handleEnd(ctx)
	case errors.Is(e.err, lavbackend.ErrNotSent):
		r.handleNotSent()
	case errors.Is(e.err, lavbackend.ErrStreamUnknown):
		r.dispatcher.restartLimiter(time.Now())
		r.buffer.Refuse(backendFailed(r.run.Attempt))
	default:
		r.recoverAnswer(ctx)
	}
}

// handleNotSent refuses the attempt as "not run", so that it can be repeated elsewhere, unless its commitment to the dispatch
// can no longer be revoked.
func (r *receiver) handleNotSent() {
	r.dispatcher.restartLimiter(time.Now())
	if !r.dispatcher.attempts.Revoke(r.run.id(), time.Now()) {
		r.buffer.Refuse(backendFailed(r.run.Attempt))
		return
	}
	r.notSent = true
	r.buffer.Refuse(notRun(lavwire.RefusalKind_REFUSAL_KIND_BACKEND_FAILED, "try another backend server"))
}

// handleHead refuses an answer that must not reach the caller, and keeps the head of any other answer.
func (r *receiver) handleHead(response *http.Response) {
	answeredVersion := response.Header.Get(lavbackend.HeaderVersion)
	if refusal := refusalForHead(r.run.Attempt, response.StatusCode, answeredVersion); refusal != nil {
		r.dispatcher.Metrics.Count("Discarded", 1)
		r.buffer.Refuse(refusal)
		if refusal.GetKind() == lavwire.RefusalKind_REFUSAL_KIND_WRONG_VERSION {
			r.cancelAtEngine()
		}
		return
	}
	contentType := response.Header.Get("Content-Type")
	if r.checker == nil {
		r.checker = lavanswer.NewChecker(lavanswer.Shape{
			Chat:        r.run.usesModel() && response.StatusCode == http.StatusOK,
			Stream:      r.run.Attempt.GetStream(),
			Delimited:   response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked"),
			ContentType: contentType,
		})
	}
	r.buffer.SetHead(&lavwire.Head{
		AttemptId:   r.run.Attempt.GetAttemptId(),
		StatusCode:  int32(response.StatusCode),
		ContentType: contentType,
		VersionId:   answeredVersion,
	})
}

// refusalForHead returns the refusal that replaces an answer, or nil when the answer may reach the caller.
func refusalForHead(attempt *lavwire.Attempt, status int, answeredVersion string) *lavwire.Refusal {
	if attempt.GetIdempotent() && status >= http.StatusInternalServerError {
		return backendFailed(attempt)
	}
	if attempt.GetVersionId() == "" {
		return nil
	}
	if status == http.StatusNotFound && answeredVersion == "" && attempt.GetIdempotent() {
		return notRun(lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_LOADED, "try another backend server")
	}
	if status < http.StatusBadRequest && answeredVersion != attempt.GetVersionId() {
		return &lavwire.Refusal{
			Kind:     lavwire.RefusalKind_REFUSAL_KIND_WRONG_VERSION,
			RunState: lavwire.RunState_RUN_STATE_RAN,
			Remedy:   "try another backend server",
		}
	}
	return nil
}

// handleData adds a part of the answer to the buffer. It refuses a non-idempotent call whose answer exceeds MaxAnswerBytes.
func (r *receiver) handleData(ctx context.Context, data []byte) {
	if !r.run.Attempt.GetIdempotent() && r.buffer.Length()+uint64(len(data)) > uint64(r.dispatcher.Limits.MaxAnswerBytes) {
		r.dispatcher.Log.WithField(lavlog.FieldAttempt, r.run.id()).Error("answer exceeds MaxAnswerBytes; the call stays in doubt")
		r.buffer.Refuse(backendFailed(r.run.Attempt))
		return
	}
	if r.buffer.Append(ctx, data) != nil {
		return
	}
	r.resumes = 0
	r.missedStates = 0
	r.idleReports = 0
	r.silenceTimeout = r.dispatcher.Limits.SilenceTimeout
	r.checker.Write(data)
	r.countTokens(data)
}

// handleEnd completes the answer at the end of its body, or recovers an incomplete one.
func (r *receiver) handleEnd(ctx context.Context) {
	usage, whole := r.checker.Check()
	if !whole {
		r.dispatcher.Metrics.Count("CutAnswers", 1)
		r.recoverAnswer(ctx)
		return
	}
	r.recordUnstreamedTokens(usage)
	r.buffer.Close(usage)
}

// recoverAnswer resumes an incomplete answer at the engine. A plain service cannot resume an answer.
func (r *receiver) recoverAnswer(ctx context.Context) {
	if !r.run.usesModel() || r.resumes >= maxFruitlessResumes {
		r.buffer.Refuse(backendFailed(r.run.Attempt))
		return
	}
	if r.resumes > 0 {
		sleep(ctx, resumePause)
	}
	r.resume(ctx)
}

// resume reads the rest of the answer from the engine over a new connection.
func (r *receiver) resume(ctx context.Context) {
	r.resumes++
	r.dispatcher.Metrics.Count("Resumes", 1)
	if r.response != nil {
		r.response.cancel()
	}
	from := r.buffer.Length()
	r.response = r.dispatcher.openResponse(ctx, func(ctx context.Context) (*http.Response, error) {
		return r.dispatcher.Backend.Resume(ctx, r.run.id(), from)
	})
}

// checkProgress checks, after a silence, whether the backend server is still working on the attempt.
func (r *receiver) checkProgress(ctx context.Context) {
	state, err := r.dispatcher.Backend.ReadState(ctx)
	if err != nil {
		r.missedStates++
		if r.missedStates >= maxMissedStates {
			r.refuseUnanswered(ctx)
		}
		return
	}
	r.missedStates = 0
	if r.run.usesModel() {
		r.checkStream(ctx, state)
		return
	}
	r.checkCall(ctx, state)
}

// checkStream resumes the stream of an attempt that the engine lists. Otherwise it refuses the attempt, provided that no
// request waits at the engine and the state is newer than the dispatch by more than half of SilenceTimeout.
func (r *receiver) checkStream(ctx context.Context, state lavbackend.State) {
	if slices.Contains(state.Streams, r.run.id()) {
		r.silenceTimeout = min(2*r.silenceTimeout, maxSilenceTimeout)
		r.resume(ctx)
		r.resumes = 0
		return
	}
	if state.Waiting == 0 && time.Since(r.sentAt)-state.Age() > r.dispatcher.Limits.SilenceTimeout/2 {
		r.dispatcher.Backend.CloseIdleConnections()
		r.refuseUnanswered(ctx)
	}
}

// checkCall refuses a call after maxIdleReports reports without work, and an idempotent call also after CallTimeout.
func (r *receiver) checkCall(ctx context.Context, state lavbackend.State) {
	r.idleReports++
	if state.Running+state.Waiting > 0 {
		r.idleReports = 0
	}
	late := r.run.Attempt.GetIdempotent() && time.Since(r.sentAt) >= r.dispatcher.Limits.CallTimeout
	if r.idleReports >= maxIdleReports || late {
		r.dispatcher.Backend.CloseIdleConnections()
		r.refuseUnanswered(ctx)
	}
}

// refuseUnanswered refuses an attempt whose answer is no longer expected in time. The outcome of a non-idempotent call is
// still awaited, in a buffer without readers.
func (r *receiver) refuseUnanswered(ctx context.Context) {
	if r.run.Attempt.GetIdempotent() {
		r.buffer.Refuse(backendFailed(r.run.Attempt))
		return
	}
	if r.buffer != r.run.Buffer {
		return
	}
	received := r.run.Buffer.View(0)
	r.buffer = lavanswer.New(lavanswer.Options{Budget: r.dispatcher.Budget, KeepAll: true})
	if received.Head != nil {
		r.buffer.SetHead(received.Head)
	}
	if r.buffer.Append(ctx, received.Body) == nil {
		r.run.Buffer.Refuse(backendFailed(r.run.Attempt))
	}
}

func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

var eventPrefix = []byte("data:")

// countTokens records each event of a stream as one token, and data without the start of an event also as one.
func (r *receiver) countTokens(data []byte) {
	permit := r.run.currentPermit()
	if permit == nil || !r.run.Attempt.GetStream() {
		return
	}
	permit.RecordTokens(max(bytes.Count(data, eventPrefix), 1), time.Now())
}

// recordReportedFirstToken records the engine's reported time to the first token for an unstreamed answer, in which the first
// token cannot be observed.
func (r *receiver) recordReportedFirstToken() {
	reported := r.dispatcher.reportedFirstToken()
	permit := r.run.currentPermit()
	if permit == nil || r.run.Attempt.GetStream() || !r.run.usesModel() || reported == 0 {
		return
	}
	permit.RecordTokens(1, r.sentAt.Add(reported))
}

// recordUnstreamedTokens records the output tokens of an unstreamed answer after the first one, unless the engine reports no
// time to the first token.
func (r *receiver) recordUnstreamedTokens(usage *lavwire.Usage) {
	permit := r.run.currentPermit()
	if permit == nil || r.run.Attempt.GetStream() || !r.run.usesModel() || usage.GetOutputTokens() < 2 {
		return
	}
	if r.dispatcher.reportedFirstToken() > 0 {
		permit.RecordTokens(int(usage.GetOutputTokens()-1), time.Now())
	}
}
