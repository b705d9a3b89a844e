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

// maxWholeBytes bounds an answer that is held until it is whole.
const maxWholeBytes = 8 << 20

// readBytes is the size of one read of a stream.
const readBytes = 4 << 10

// streamState is what has arrived of a stream and is not delivered yet.
type streamState struct {
	splitter lavevent.Splitter
	// started is when this server's first event came, and events counts what came since.
	started time.Time
	events  int
	counted bool
}

// pacedEvents are enough to tell the pace of a stream.
const pacedEvents = 8

// deliver passes an answer on, or decides that the request goes elsewhere.
func (w *work) deliver(ctx context.Context, chosen choice, model lavid.ModelID, job *lavload.Job, stall *stall, reply *Reply, sent time.Time) (step, Result) {
	if reply.Status >= http.StatusInternalServerError {
		return w.serverFailed(ctx, chosen, reply)
	}
	if w.request.Route.Kind == lavroute.Streaming && reply.Status == http.StatusOK {
		return w.deliverStream(ctx, chosen, model, job, stall, reply, sent)
	}
	return w.deliverWhole(ctx, chosen, stall, reply)
}

// serverFailed repeats a request that a server ran and failed, or delivers the failure.
func (w *work) serverFailed(ctx context.Context, chosen choice, reply *Reply) (step, Result) {
	now := w.Clock()
	w.excluded[chosen.ID] = true
	w.health.flaw(chosen.ID)
	w.last = "server failed with " + http.StatusText(reply.Status)
	w.Releases.Observe(chosen.Server, lavcutover.Outcome{Kind: w.kind(chosen), Failed: true})
	w.Metrics.send(chosen, sendFailed)
	w.decided("server failed", chosen.ID, logrus.Fields{"status": reply.Status, "release": chosen.Release})
	if !w.begun {
		if body, err := readWhole(reply.Body); err == nil && reply.Genuine {
			failure := *reply
			failure.Body = io.NopCloser(bytes.NewReader(body))
			w.failure = &failure
		} else if err != nil && ctx.Err() == nil {
			w.health.fail(chosen.ID, now)
		}
	}
	return w.again("server failed")
}

// deliverFailure passes on the failure that a server answered.
func (w *work) deliverFailure() Result {
	body, err := readWhole(w.failure.Body)
	if err != nil {
		return Result{Refusal: &Refusal{Status: http.StatusBadGateway, Reason: err.Error()}}
	}
	if err := w.answer.Begin(w.failure.Status, w.failure.Header, len(body)); err != nil {
		return Result{Broken: true}
	}
	if err := w.answer.Write(body); err != nil {
		return Result{Broken: true}
	}
	return Result{}
}

// deliverWhole holds an answer until it is whole, so that a broken one can be asked for again.
func (w *work) deliverWhole(ctx context.Context, chosen choice, stall *stall, reply *Reply) (step, Result) {
	body, err := readWhole(reply.Body)
	now := w.Clock()
	if err != nil || !reply.Genuine && reply.Status < http.StatusMultipleChoices {
		reason := "answer without the server's proof"
		if err != nil {
			reason = err.Error()
		}
		w.last = reason
		if ctx.Err() != nil && !stall.fired() {
			return stepDone, w.giveUp("answer was not whole in time")
		}
		w.excluded[chosen.ID] = true
		w.health.fail(chosen.ID, now)
		w.Metrics.send(chosen, sendDamaged)
		w.decided("answer was damaged", chosen.ID, logrus.Fields{"reason": reason})
		return w.again("answer was damaged")
	}
	w.health.succeed(chosen.ID, now)
	w.Metrics.send(chosen, sendAnswered)
	w.Releases.Observe(chosen.Server, lavcutover.Outcome{Kind: w.kind(chosen)})
	w.timing.Answered(now)
	if err := w.answer.Begin(reply.Status, reply.Header, len(body)); err != nil {
		return stepDone, Result{Broken: true}
	}
	if err := w.answer.Write(body); err != nil {
		return stepDone, Result{Broken: true}
	}
	return stepDone, Result{}
}

func readWhole(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxWholeBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "answer is not whole")
	}
	if len(data) > maxWholeBytes {
		return nil, errors.New("answer is larger than 8 MiB")
	}
	return data, nil
}

// deliverStream passes on whole events as they arrive; a stream that breaks off goes on elsewhere after its last event.
func (w *work) deliverStream(ctx context.Context, chosen choice, model lavid.ModelID, job *lavload.Job, stall *stall, reply *Reply, sent time.Time) (step, Result) {
	if !reply.Genuine {
		w.excluded[chosen.ID] = true
		w.Metrics.send(chosen, sendDamaged)
		w.decided("answer was damaged", chosen.ID, logrus.Fields{"reason": "stream without the server's proof"})
		return w.again("stream without the server's proof")
	}
	job.Read()
	w.timing.Answered(w.Clock())
	w.speeds.first(w.request.Service.ID, chosen.unread+chosen.ahead, w.Clock().Sub(sent))
	if w.wantsLarger(reply) {
		w.escalate(chosen, reply)
		return stepAgain, Result{}
	}
	w.settled = model
	w.confidence = reply.Confidence
	w.stream = streamState{}
	buffer := make([]byte, readBytes)
	for {
		count, err := reply.Body.Read(buffer)
		if count > 0 {
			w.health.hear(chosen.ID, w.Clock())
			if failure := w.pass(chosen, reply, buffer[:count]); failure != nil {
				return stepDone, Result{Broken: true}
			}
			if w.mayResume() {
				stall.reset(w.pauseStall())
			}
		}
		if err == io.EOF {
			return w.ended(chosen, reply)
		}
		if err != nil {
			return w.brokeOff(ctx, chosen, stall, err)
		}
	}
}

// pass delivers the events that data completes.
func (w *work) pass(chosen choice, reply *Reply, data []byte) error {
	events, err := w.stream.splitter.Add(data)
	if err != nil {
		return err
	}
	for _, event := range events {
		if !w.begun {
			if err := w.begin(reply); err != nil {
				return err
			}
		}
		if err := w.answer.Write(event.Bytes); err != nil {
			return errors.Wrap(err, "deliver event")
		}
		w.paced(chosen)
		if event.ID != "" {
			w.after = event.ID
		}
	}
	return nil
}

func (w *work) begin(reply *Reply) error {
	now := w.Clock()
	w.begun = true
	w.first = now.Sub(w.request.Arrived)
	return w.answer.Begin(reply.Status, reply.Header, -1)
}

// paced counts an event and tells the roll-outs the stream's pace once it is known.
func (w *work) paced(chosen choice) {
	now := w.Clock()
	w.delivered++
	if !w.lastEvent.IsZero() {
		w.longestPause = max(w.longestPause, now.Sub(w.lastEvent))
	}
	w.lastEvent = now
	if w.stream.started.IsZero() {
		w.stream.started = now
		return
	}
	w.stream.events++
	if w.stream.events >= pacedEvents && !w.stream.counted {
		w.countStream(chosen, now)
	}
}

// countStream tells the roll-outs of a stream that works.
func (w *work) countStream(chosen choice, now time.Time) {
	w.stream.counted = true
	w.Releases.Observe(chosen.Server, lavcutover.Outcome{Kind: w.kind(chosen)})
	if w.stream.events > 0 {
		pause := now.Sub(w.stream.started) / time.Duration(w.stream.events)
		w.speeds.pause(w.settled, pause)
		w.Releases.ObserveDuration(chosen.Server, "pause/"+string(w.settled), pause)
	}
}

// ended ends a stream whose server has sent all of it.
func (w *work) ended(chosen choice, reply *Reply) (step, Result) {
	if w.stream.splitter.Partial() {
		return w.brokeOff(context.Background(), chosen, &stall{}, errors.New("stream ended within an event"))
	}
	w.health.succeed(chosen.ID, w.Clock())
	w.Metrics.send(chosen, sendAnswered)
	if !w.stream.counted {
		w.countStream(chosen, w.Clock())
	}
	if !w.begun {
		if err := w.answer.Begin(reply.Status, reply.Header, 0); err != nil {
			return stepDone, Result{Broken: true}
		}
	}
	return stepDone, Result{}
}

// brokeOff resumes a stream elsewhere, or ends it so that it does not look whole.
func (w *work) brokeOff(ctx context.Context, chosen choice, stall *stall, err error) (step, Result) {
	w.last = err.Error()
	if ctx.Err() != nil && !stall.fired() {
		return stepDone, w.giveUp("stream was not whole in time")
	}
	w.excluded[chosen.ID] = true
	w.health.fail(chosen.ID, w.Clock())
	w.Metrics.send(chosen, sendBrokeOff)
	w.decided("stream broke off", chosen.ID, logrus.Fields{"after": w.after, "reason": err.Error(), "stalled": stall.fired()})
	return w.again("stream broke off")
}

// mayResume tells whether a stream that stands still can go on elsewhere.
func (w *work) mayResume() bool {
	return w.request.Route.Repeatable() && w.runs < w.request.Route.Attempts
}

// wantsLarger tells whether a smaller model's answer is dropped for a larger model's.
func (w *work) wantsLarger(reply *Reply) bool {
	models := w.request.Route.Models
	if w.begun || w.request.Model != "" || w.settled != "" || w.model >= len(models)-1 {
		return false
	}
	if !reply.HasConfidence || w.runs >= w.request.Route.Attempts {
		return false
	}
	outlook, ok := w.outlook(models[len(models)-1])
	if !ok || lavplan.Accept(lavplan.Confidence(reply.Confidence), outlook) {
		return false
	}
	return w.takeRepeat()
}

// outlook is what asking a model would mean, or false when no server may take the request.
func (w *work) outlook(model lavid.ModelID) (lavplan.Forecast, bool) {
	now := w.Clock()
	chosen, ok := w.choose(model, now)
	if !ok {
		return lavplan.Forecast{}, false
	}
	first, whole := w.speeds.expect(w.request.Service.ID, model, chosen.unread+chosen.ahead, w.events())
	return lavplan.Forecast{
		FirstEvent:   first,
		LastEvent:    whole,
		TargetLeft:   w.request.Arrived.Add(w.request.Route.LatencyTarget).Sub(now),
		DeadlineLeft: w.request.Deadline.Sub(now),
	}, true
}

// events is the expected number of events of the answer.
func (w *work) events() float64 {
	engine := w.request.Service.Engine
	if engine == nil || engine.EventTokens <= 0 {
		return 0
	}
	return float64(w.memory()-w.request.Prompt.Input) / engine.EventTokens
}

// escalate goes on with the largest model.
func (w *work) escalate(chosen choice, reply *Reply) {
	w.model = len(w.request.Route.Models) - 1
	w.Metrics.escalations.WithLabelValues(string(chosen.Service)).Inc()
	w.Metrics.send(chosen, sendDropped)
	w.decided("larger model", chosen.ID, logrus.Fields{"confidence": reply.Confidence})
}

// kind groups sends whose answers may be compared.
func (w *work) kind(chosen choice) string {
	return w.request.Route.Name + "/" + string(chosen.model)
}
