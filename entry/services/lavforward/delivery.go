package lavforward

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/modules/lavevent"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/services/lavbuffer"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavload"
)

// streamReadBytes is the size of the buffer into which a stream is read.
const streamReadBytes = 4 << 10

// streamState is the state of the stream from the current server.
type streamState struct {
	splitter lavevent.Splitter
	// firstEventAt is when the first event of this server arrived, and laterEvents counts the events after it. reported
	// states that the stream was reported to the cutovers.
	firstEventAt time.Time
	laterEvents  int
	reported     bool
	// withoutData counts the events without data since the last one with data, and emptyLines holds those of them that are just
	// an empty line. They are delivered with the next event or at the end, as a damaged stream may consist of them.
	withoutData int
	emptyLines  []byte
}

// events returns the number of events that the current server has delivered.
func (s streamState) events() int {
	if s.firstEventAt.IsZero() {
		return 0
	}
	return s.laterEvents + 1
}

// minPaceEvents is the number of events after the first from which the mean pause of a stream is computed.
const minPaceEvents = 8

// deliver delivers the answer to the caller, or decides whether the request is repeated on another server.
func (e *execution) deliver(ctx context.Context, chosen choice, model lavid.ModelID, job *lavload.Job, watchdog *watchdog, reply *Reply, sentAt time.Time) (step, Result) {
	if reply.Status >= http.StatusInternalServerError {
		return e.handleServerError(ctx, chosen, reply)
	}
	if e.request.Route.Kind == lavroute.Streaming && reply.Status == http.StatusOK {
		return e.deliverStream(ctx, chosen, model, job, watchdog, reply, sentAt)
	}
	return e.deliverBuffered(ctx, chosen, watchdog, reply)
}

// handleServerError handles an answer with a 5xx status. It repeats the request where that is allowed, and otherwise
// delivers the error answer.
func (e *execution) handleServerError(ctx context.Context, chosen choice, reply *Reply) (step, Result) {
	now := e.Clock()
	e.flight.settled = true
	e.excluded[chosen.ID] = true
	e.health.recordErrorAnswer(chosen.Instance())
	e.lastFailure = "server failed with " + http.StatusText(reply.Status)
	e.Releases.Observe(chosen.Server, lavcutover.Outcome{Kind: e.outcomeKind(chosen), Failed: true})
	e.Metrics.countSend(chosen, sendFailed)
	e.logDecision("server failed", chosen.ID, logrus.Fields{"status": reply.Status, "release": chosen.Release})
	if !e.answerBegun {
		body, err := e.readBuffered(reply.Body)
		if err == nil {
			e.recordSurvival(now)
		}
		if err == nil && reply.Signed {
			serverError := *reply
			serverError.Body = io.NopCloser(bytes.NewReader(body))
			e.serverError = &serverError
		} else if err != nil && ctx.Err() == nil {
			e.health.recordFailure(chosen.Instance(), now)
		}
	}
	return e.repeatOrFail("server failed")
}

// deliverServerError delivers the latest 5xx answer to the caller.
func (e *execution) deliverServerError() Result {
	body, err := e.readBuffered(e.serverError.Body)
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

// deliverBuffered reads the whole answer before it delivers any of it, so that a truncated answer can be requested again.
func (e *execution) deliverBuffered(ctx context.Context, chosen choice, watchdog *watchdog, reply *Reply) (step, Result) {
	body, err := e.readBuffered(reply.Body)
	now := e.Clock()
	if err == nil {
		e.recordSurvival(now)
	}
	if err != nil || !reply.Signed && reply.Status < http.StatusMultipleChoices {
		reason := "answer has no server signature"
		if err != nil {
			reason = err.Error()
		}
		e.lastFailure = reason
		if ctx.Err() != nil && !watchdog.hasFired() {
			return stepDone, e.fail("answer was not complete in time")
		}
		e.excluded[chosen.ID] = true
		if err != nil && !watchdog.hasFired() {
			e.recordEnding(err, now)
		}
		if !errors.Is(err, errBuffersFull) {
			e.health.recordFailure(chosen.Instance(), now)
		}
		e.Metrics.countSend(chosen, sendDamaged)
		e.logDecision("answer was damaged", chosen.ID, logrus.Fields{"reason": reason})
		return e.repeatOrFail("answer was damaged")
	}
	e.health.recordSuccess(chosen.Instance(), now)
	e.Metrics.countSend(chosen, sendAnswered)
	e.Releases.Observe(chosen.Server, lavcutover.Outcome{Kind: e.outcomeKind(chosen)})
	e.timing.Answered(now)
	if err := e.answer.Begin(reply.Status, reply.Header, len(body)); err != nil {
		return stepDone, Result{Broken: true}
	}
	if err := e.answer.Write(body); err != nil {
		return stepDone, Result{Broken: true}
	}
	return stepDone, Result{}
}

// deliverStream delivers complete events as they arrive. A stream that breaks off is resumed on another server after the
// last delivered event.
func (e *execution) deliverStream(ctx context.Context, chosen choice, model lavid.ModelID, job *lavload.Job, watchdog *watchdog, reply *Reply, sentAt time.Time) (step, Result) {
	if !reply.Signed {
		e.excluded[chosen.ID] = true
		e.Metrics.countSend(chosen, sendDamaged)
		e.logDecision("answer was damaged", chosen.ID, logrus.Fields{"reason": "stream has no server signature"})
		return e.repeatOrFail("stream has no server signature")
	}
	job.MarkPromptRead()
	e.timing.Answered(e.Clock())
	e.recordFirstEvent(chosen, model, sentAt)
	e.updateRecord(func(record *sendRecord) { record.headAfter = e.Clock().Sub(sentAt) })
	if e.runsLarger(chosen, model, reply) {
		return stepRepeat, Result{}
	}
	e.answeringModel = model
	e.confidence = reply.Confidence
	e.stream = streamState{}
	buffer := make([]byte, streamReadBytes)
	headAt := e.Clock()
	ahead := e.startReadAhead(chosen, reply)
	defer ahead.stop()
	for {
		count, err := ahead.Read(buffer)
		if count > 0 {
			e.recordAlive(chosen, sentAt)
			delivered := e.deliveredEvents
			caughtUp := ahead.watch()
			deliverErr := e.deliverEvents(chosen, reply, buffer[:count])
			caughtUp()
			switch {
			case errors.Is(deliverErr, errDamagedStream):
				return e.handleBrokenStream(ctx, chosen, watchdog, deliverErr)
			case deliverErr != nil:
				return stepDone, Result{Broken: true}
			}
			e.recordProgress(headAt, e.Clock())
			if e.endsEvent(delivered) && e.mayResume() {
				watchdog.reset(e.pauseTimeout())
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return e.finishStream(chosen, reply)
		case errors.Is(err, errCallerTooSlow):
			return stepDone, Result{Broken: true}
		default:
			return e.handleBrokenStream(ctx, chosen, watchdog, err)
		}
	}
}

// endsEvent notes since when the server has sent a part of an event without its end, and reports whether what was read last ends one.
// Deliveries counts the events delivered before.
func (e *execution) endsEvent(deliveries int) bool {
	partial := e.stream.splitter.Partial()
	ends := !partial || e.deliveredEvents > deliveries
	switch {
	case !partial:
		e.flight.partialSince.Store(0)
	case ends || e.flight.partialSince.Load() == 0:
		e.flight.partialSince.Store(e.Clock().UnixNano())
	}
	return ends
}

// startReadAhead starts to read the stream on while its caller is behind.
func (e *execution) startReadAhead(chosen choice, reply *Reply) *readAhead {
	stream := &lavbuffer.Stream{Account: e.request.AccountID(), End: func() {
		e.Metrics.slowCallers.WithLabelValues(string(chosen.Service)).Inc()
		e.Log.WithFields(logrus.Fields{lavlog.FieldRequest: e.request.ID, lavlog.FieldAccount: e.request.AccountID()}).Info("slow caller ended")
		e.answer.Abort()
	}}
	ahead := startReadAhead(reply.Body, e.held, stream, e.Clock, e.flight.cancel, func() {
		e.health.recordActivity(chosen.Instance(), e.Clock())
	})
	e.flight.ahead.Store(ahead)
	return ahead
}

// recordFirstEvent records how long an engine took to the head of a stream, which it sends with the first event.
func (e *execution) recordFirstEvent(chosen choice, model lavid.ModelID, sentAt time.Time) {
	if e.request.Service.Engine == nil {
		return
	}
	now := e.Clock()
	e.observeFirst(chosen, now.Sub(sentAt), now)
	if chosen.unreadTokensBefore == 0 {
		e.speeds.recordRead(model, chosen.unreadTokens/e.readFactor(model), now.Sub(sentAt))
	}
}

// errDamagedStream is the cause of errors about bytes that are no events.
var errDamagedStream = errors.New("server's event stream is damaged")

// maxEventsWithoutData is the number of successive events without data that a stream may have, such as comments.
const maxEventsWithoutData = 64

// check returns an error with the cause errDamagedStream if an event cannot follow the one with the given ID.
func (s *streamState) check(event lavevent.Event, last string) error {
	if event.Malformed {
		return errors.Wrap(errDamagedStream, "no field of an event")
	}
	s.withoutData++
	if event.HasData {
		s.withoutData = 0
	}
	if s.withoutData > maxEventsWithoutData {
		return errors.Wrapf(errDamagedStream, "%d events without data", s.withoutData)
	}
	before, err := strconv.ParseUint(last, 10, 64)
	number, numberErr := strconv.ParseUint(event.ID, 10, 64)
	if err == nil && numberErr == nil && number <= before {
		return errors.Wrapf(errDamagedStream, "event %d follows event %d", number, before)
	}
	return nil
}

// deliverEvents delivers the events that data completes. It fails with errDamagedStream as cause if the server is at fault.
func (e *execution) deliverEvents(chosen choice, reply *Reply, data []byte) error {
	events, err := e.stream.splitter.Add(data)
	if deliverErr := e.deliverAll(chosen, reply, events); deliverErr != nil {
		return deliverErr
	}
	if err == nil {
		err = e.reserveBuffer(e.stream.splitter.Buffered())
	}
	if err != nil {
		return errors.Wrap(errDamagedStream, err.Error())
	}
	return nil
}

func (e *execution) deliverAll(chosen choice, reply *Reply, events []lavevent.Event) error {
	for _, event := range events {
		if err := e.stream.check(event, e.resumeAfter()); err != nil {
			return err
		}
		if event.Empty {
			e.stream.emptyLines = append(e.stream.emptyLines, event.Bytes...)
			continue
		}
		if !e.answerBegun {
			if err := e.beginAnswer(reply); err != nil {
				return err
			}
		}
		if err := e.answer.Write(append(e.stream.emptyLines, event.Bytes...)); err != nil {
			return errors.Wrap(err, "deliver event")
		}
		e.stream.emptyLines = nil
		e.countEvent(chosen)
		if event.ID != "" {
			e.lastEventID = event.ID
		}
	}
	return nil
}

// beginAnswer delivers the head of a stream before its first event.
func (e *execution) beginAnswer(reply *Reply) error {
	now := e.Clock()
	e.answerBegun = true
	e.firstEventAfter = now.Sub(e.request.Arrived)
	return e.answer.Begin(reply.Status, reply.Header, -1)
}

// countEvent counts a delivered event. After minPaceEvents later events it reports the stream to the cutovers.
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

// reportStream reports a working stream and its mean pause to the cutovers.
func (e *execution) reportStream(chosen choice, now time.Time) {
	e.stream.reported = true
	e.Releases.Observe(chosen.Server, lavcutover.Outcome{Kind: e.outcomeKind(chosen)})
	if e.stream.laterEvents > 0 {
		pause := now.Sub(e.stream.firstEventAt) / time.Duration(e.stream.laterEvents)
		e.speeds.recordPauses(e.answeringModel, now.Sub(e.stream.firstEventAt), e.stream.laterEvents)
		e.Releases.ObserveDuration(chosen.Server, "pause/"+string(e.answeringModel), pause)
	}
}

// finishStream ends a stream whose body was read to its end. A body that ends within an event counts as broken.
func (e *execution) finishStream(chosen choice, reply *Reply) (step, Result) {
	if e.stream.splitter.Partial() {
		return e.handleBrokenStream(context.Background(), chosen, &watchdog{}, errors.Wrap(io.ErrUnexpectedEOF, "stream ended within an event"))
	}
	if e.stream.events() == 0 && e.resumeAfter() == "" {
		return e.handleBrokenStream(context.Background(), chosen, &watchdog{}, errors.Wrap(io.ErrUnexpectedEOF, "stream ended before its first event"))
	}
	e.recordSurvival(e.Clock())
	e.health.recordSuccess(chosen.Instance(), e.Clock())
	e.Metrics.countSend(chosen, sendAnswered)
	if !e.stream.reported {
		e.reportStream(chosen, e.Clock())
	}
	if !e.answerBegun {
		if err := e.answer.Begin(reply.Status, reply.Header, 0); err != nil {
			return stepDone, Result{Broken: true}
		}
	}
	if len(e.stream.emptyLines) > 0 && e.answerBegun {
		if err := e.answer.Write(e.stream.emptyLines); err != nil {
			return stepDone, Result{Broken: true}
		}
	}
	return stepDone, Result{}
}

// handleBrokenStream resumes the stream on another server where that is allowed. Otherwise it ends the answer in a way
// that the caller recognises as incomplete.
func (e *execution) handleBrokenStream(ctx context.Context, chosen choice, watchdog *watchdog, err error) (step, Result) {
	e.lastFailure = err.Error()
	now := e.Clock()
	if ctx.Err() != nil && !watchdog.hasFired() {
		if e.isQuarantined(now) {
			return stepDone, e.failQuarantined(e.Quarantine.Refusal(e.keys, now))
		}
		return stepDone, e.fail("stream was not complete in time")
	}
	if !e.flight.survived && !watchdog.hasFired() {
		e.recordEnding(err, now)
	}
	e.excluded[chosen.ID] = true
	e.health.recordFailure(chosen.Instance(), now)
	e.Metrics.countSend(chosen, sendBrokeOff)
	fields := logrus.Fields{"after": e.lastEventID, "reason": err.Error(), "stalled": watchdog.hasFired(), "server_events": e.stream.events()}
	e.logDecision("stream broke off", chosen.ID, e.progressFields(fields))
	return e.repeatOrFail("stream broke off")
}

// mayResume reports whether the route and its attempts allow the stream to be resumed on another server.
func (e *execution) mayResume() bool {
	return e.request.Route.Repeatable() && e.runs < e.request.Route.Attempts
}

// outcomeKind returns the kind of a send, as lavcutover.Outcome defines it. Sends of the same route and model are compared.
func (e *execution) outcomeKind(chosen choice) string {
	return e.request.Route.Name + "/" + string(chosen.model)
}
