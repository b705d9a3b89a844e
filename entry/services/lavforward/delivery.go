package lavforward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/modules/lavevent"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/core/services/lavplan"
)

// maxBufferedBytes bounds an answer that is held until it is whole.
const maxBufferedBytes = 8 << 20

// streamReadBytes is the size of one read of a stream.
const streamReadBytes = 4 << 10

// streamState is what has arrived of a stream and is not delivered yet.
type streamState struct {
	splitter lavevent.Splitter
	// firstEventAt is when this server's first event came, and events counts what came since.
	firstEventAt time.Time
	laterEvents  int
	reported     bool
}

// minPaceEvents are enough to tell the pace of a stream.
const minPaceEvents = 8

// deliver passes an answer on, or decides that the request goes elsewhere.
func (e *execution) deliver(ctx context.Context, chosen choice, model lavid.ModelID, job *lavload.Job, watchdog *watchdog, reply *Reply, sent time.Time) (step, Result) {
	if reply.Status >= http.StatusInternalServerError {
		return e.handleServerError(ctx, chosen, reply)
	}
	if e.request.Route.Kind == lavroute.Streaming && reply.Status == http.StatusOK {
		return e.deliverStream(ctx, chosen, model, job, watchdog, reply, sent)
	}
	return e.deliverBuffered(ctx, chosen, watchdog, reply)
}

// handleServerError repeats a request that a server ran and failed, or delivers the failure.
func (e *execution) handleServerError(ctx context.Context, chosen choice, reply *Reply) (step, Result) {
	now := e.Clock()
	e.excluded[chosen.ID] = true
	e.health.recordErrorAnswer(chosen.ID)
	e.lastFailure = "server failed with " + http.StatusText(reply.Status)
	e.Releases.Observe(chosen.Server, lavcutover.Outcome{Kind: e.comparisonGroup(chosen), Failed: true})
	e.Metrics.countSend(chosen, sendFailed)
	e.logDecision("server failed", chosen.ID, logrus.Fields{"status": reply.Status, "release": chosen.Release})
	if !e.answerBegun {
		if body, err := readBuffered(reply.Body); err == nil && reply.Signed {
			failure := *reply
			failure.Body = io.NopCloser(bytes.NewReader(body))
			e.serverError = &failure
		} else if err != nil && ctx.Err() == nil {
			e.health.recordFailure(chosen.ID, now)
		}
	}
	return e.repeatOrGiveUp("server failed")
}

// deliverServerError passes on the failure that a server answered.
func (e *execution) deliverServerError() Result {
	body, err := readBuffered(e.serverError.Body)
	if err != nil {
		return Result{Refusal: &Refusal{Status: http.StatusBadGateway, Reason: err.Error()}}
	}
	if err := e.answer.Begin(e.serverError.Status, e.serverError.Header, len(body)); err != nil {
		return Result{Broken: true}
	}
	if err := e.answer.Write(body); err != nil {
		return Result{Broken: true}
	}
	return Result{}
}

// deliverBuffered holds an answer until it is whole, so that a broken one can be asked for again.
func (e *execution) deliverBuffered(ctx context.Context, chosen choice, watchdog *watchdog, reply *Reply) (step, Result) {
	body, err := readBuffered(reply.Body)
	now := e.Clock()
	if err != nil || !reply.Signed && reply.Status < http.StatusMultipleChoices {
		reason := "answer without the server's proof"
		if err != nil {
			reason = err.Error()
		}
		e.lastFailure = reason
		if ctx.Err() != nil && !watchdog.hasFired() {
			return stepDone, e.giveUp("answer was not whole in time")
		}
		e.excluded[chosen.ID] = true
		e.health.recordFailure(chosen.ID, now)
		e.Metrics.countSend(chosen, sendDamaged)
		e.logDecision("answer was damaged", chosen.ID, logrus.Fields{"reason": reason})
		return e.repeatOrGiveUp("answer was damaged")
	}
	e.health.recordSuccess(chosen.ID, now)
	e.Metrics.countSend(chosen, sendAnswered)
	e.Releases.Observe(chosen.Server, lavcutover.Outcome{Kind: e.comparisonGroup(chosen)})
	e.timing.Answered(now)
	if err := e.answer.Begin(reply.Status, reply.Header, len(body)); err != nil {
		return stepDone, Result{Broken: true}
	}
	if err := e.answer.Write(body); err != nil {
		return stepDone, Result{Broken: true}
	}
	return stepDone, Result{}
}

func readBuffered(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxBufferedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "answer is not whole")
	}
	if len(data) > maxBufferedBytes {
		return nil, errors.New("answer is larger than 8 MiB")
	}
	return data, nil
}

// deliverStream passes on whole events as they arrive; a stream that breaks off goes on elsewhere after its last event.
func (e *execution) deliverStream(ctx context.Context, chosen choice, model lavid.ModelID, job *lavload.Job, watchdog *watchdog, reply *Reply, sent time.Time) (step, Result) {
	if !reply.Signed {
		e.excluded[chosen.ID] = true
		e.Metrics.countSend(chosen, sendDamaged)
		e.logDecision("answer was damaged", chosen.ID, logrus.Fields{"reason": "stream without the server's proof"})
		return e.repeatOrGiveUp("stream without the server's proof")
	}
	job.Read()
	e.timing.Answered(e.Clock())
	e.speeds.recordFirstEvent(e.request.Service.ID, chosen.unreadTokens+chosen.unreadTokensBefore, e.Clock().Sub(sent))
	if e.shouldEscalate(reply) {
		e.escalate(chosen, reply)
		return stepRepeat, Result{}
	}
	e.answeringModel = model
	e.confidence = reply.Confidence
	e.stream = streamState{}
	buffer := make([]byte, streamReadBytes)
	for {
		count, err := reply.Body.Read(buffer)
		if count > 0 {
			e.health.recordActivity(chosen.ID, e.Clock())
			if failure := e.deliverEvents(chosen, reply, buffer[:count]); failure != nil {
				return stepDone, Result{Broken: true}
			}
			if e.mayResume() {
				watchdog.reset(e.pauseTimeout())
			}
		}
		if err == io.EOF {
			return e.finishStream(chosen, reply)
		}
		if err != nil {
			return e.handleBrokenStream(ctx, chosen, watchdog, err)
		}
	}
}

// deliverEvents delivers the events that data completes.
func (e *execution) deliverEvents(chosen choice, reply *Reply, data []byte) error {
	events, err := e.stream.splitter.Add(data)
	if err != nil {
		return err
	}
	for _, event := range events {
		if !e.answerBegun {
			if err := e.beginAnswer(reply); err != nil {
				return err
			}
		}
		if err := e.answer.Write(event.Bytes); err != nil {
			return errors.Wrap(err, "deliver event")
		}
		e.countEvent(chosen)
		if event.ID != "" {
			e.lastEventID = event.ID
		}
	}
	return nil
}

func (e *execution) beginAnswer(reply *Reply) error {
	now := e.Clock()
	e.answerBegun = true
	e.firstEventAfter = now.Sub(e.request.Arrived)
	return e.answer.Begin(reply.Status, reply.Header, -1)
}

// countEvent counts an event and tells the roll-outs the stream's pace once it is known.
func (e *execution) countEvent(chosen choice) {
	now := e.Clock()
	e.deliveredEvents++
	if !e.lastEventAt.IsZero() {
		e.longestPause = max(e.longestPause, now.Sub(e.lastEventAt))
	}
	e.lastEventAt = now
	if e.stream.firstEventAt.IsZero() {
		e.stream.firstEventAt = now
		return
	}
	e.stream.laterEvents++
	if e.stream.laterEvents >= minPaceEvents && !e.stream.reported {
		e.reportStream(chosen, now)
	}
}

// reportStream tells the roll-outs of a stream that works.
func (e *execution) reportStream(chosen choice, now time.Time) {
	e.stream.reported = true
	e.Releases.Observe(chosen.Server, lavcutover.Outcome{Kind: e.comparisonGroup(chosen)})
	if e.stream.laterEvents > 0 {
		pause := now.Sub(e.stream.firstEventAt) / time.Duration(e.stream.laterEvents)
		e.speeds.recordPause(e.answeringModel, pause)
		e.Releases.ObserveTime(chosen.Server, "pause/"+string(e.answeringModel), pause)
	}
}

// finishStream ends a stream whose server has sent all of it.
func (e *execution) finishStream(chosen choice, reply *Reply) (step, Result) {
	if e.stream.splitter.Partial() {
		return e.handleBrokenStream(context.Background(), chosen, &watchdog{}, errors.New("stream ended within an event"))
	}
	e.health.recordSuccess(chosen.ID, e.Clock())
	e.Metrics.countSend(chosen, sendAnswered)
	if !e.stream.reported {
		e.reportStream(chosen, e.Clock())
	}
	if !e.answerBegun {
		if err := e.answer.Begin(reply.Status, reply.Header, 0); err != nil {
			return stepDone, Result{Broken: true}
		}
	}
	return stepDone, Result{}
}

// handleBrokenStream resumes a stream elsewhere, or ends it so that it does not look whole.
func (e *execution) handleBrokenStream(ctx context.Context, chosen choice, watchdog *watchdog, err error) (step, Result) {
	e.lastFailure = err.Error()
	if ctx.Err() != nil && !watchdog.hasFired() {
		return stepDone, e.giveUp("stream was not whole in time")
	}
	e.excluded[chosen.ID] = true
	e.health.recordFailure(chosen.ID, e.Clock())
	e.Metrics.countSend(chosen, sendBrokeOff)
	e.logDecision("stream broke off", chosen.ID, logrus.Fields{"after": e.lastEventID, "reason": err.Error(), "stalled": watchdog.hasFired()})
	return e.repeatOrGiveUp("stream broke off")
}

// mayResume tells whether a stream that stands still can go on elsewhere.
func (e *execution) mayResume() bool {
	return e.request.Route.Repeatable() && e.runs < e.request.Route.Attempts
}

// shouldEscalate tells whether a smaller model's answer is dropped for a larger model's.
func (e *execution) shouldEscalate(reply *Reply) bool {
	models := e.request.Route.Models
	if e.answerBegun || e.request.Model != "" || e.answeringModel != "" || e.modelIndex >= len(models)-1 {
		return false
	}
	if !reply.HasConfidence || e.runs >= e.request.Route.Attempts {
		return false
	}
	outlook, ok := e.outlook(models[len(models)-1])
	if !ok || lavplan.Accept(lavplan.Confidence(reply.Confidence), outlook) {
		return false
	}
	return e.takeRepeat()
}

// outlook is what asking a model would mean, or false when no server may take the request.
func (e *execution) outlook(model lavid.ModelID) (lavplan.Outlook, bool) {
	now := e.Clock()
	chosen, ok := e.choose(model, now)
	if !ok {
		return lavplan.Outlook{}, false
	}
	first, whole := e.speeds.expect(e.request.Service.ID, model, chosen.unreadTokens+chosen.unreadTokensBefore, e.expectedEvents())
	return lavplan.Outlook{
		First:        first,
		Whole:        whole,
		TargetLeft:   e.request.Arrived.Add(e.request.Route.LatencyTarget).Sub(now),
		DeadlineLeft: e.request.Deadline.Sub(now),
	}, true
}

// expectedEvents is the expected number of expectedEvents of the answer.
func (e *execution) expectedEvents() float64 {
	engine := e.request.Service.Engine
	if engine == nil || engine.EventTokens <= 0 {
		return 0
	}
	return float64(e.memoryTokens()-e.request.Prompt.Input) / engine.EventTokens
}

// escalate goes on with the largest model.
func (e *execution) escalate(chosen choice, reply *Reply) {
	e.modelIndex = len(e.request.Route.Models) - 1
	e.Metrics.escalations.WithLabelValues(string(chosen.Service)).Inc()
	e.Metrics.countSend(chosen, sendDropped)
	e.logDecision("larger model", chosen.ID, logrus.Fields{"confidence": reply.Confidence})
}

// comparisonGroup groups sends whose answers may be compared.
func (e *execution) comparisonGroup(chosen choice) string {
	return e.request.Route.Name + "/" + string(chosen.model)
}
