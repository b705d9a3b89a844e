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

	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/modules/lavevent"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/services/lavbuffer"
	"lavenderswitch/core/services/lavcutover"
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
	// withData counts the events with data, and withoutData those without since the last one with data. emptyLines holds those of the
	// latter that are just an empty line. They are delivered with the next event or at the end, as a damaged stream may consist of them.
	withData    int
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
func (s *send) deliver(ctx context.Context, reply *Reply) (step, Result) {
	if reply.Status >= http.StatusInternalServerError {
		return s.handleServerError(ctx, reply)
	}
	if s.request.Route.Kind == lavroute.Streaming && reply.Status == http.StatusOK {
		return s.deliverStream(ctx, reply)
	}
	if s.answerBegun {
		return s.rejectContinuation(reply)
	}
	return s.deliverBuffered(ctx, reply)
}

// rejectContinuation handles an answer that does not continue the stream which the caller is receiving, such as an error. None of it may
// reach the caller.
func (s *send) rejectContinuation(reply *Reply) (step, Result) {
	s.flight.settled = true
	s.excluded[s.chosen.ID] = true
	s.lastFailure = "server answered with " + http.StatusText(reply.Status) + " instead of the rest of the stream"
	s.health.recordErrorAnswer(s.chosen.Instance())
	s.Metrics.countSend(s.chosen, sendFailed)
	s.logDecision("server does not continue the stream", s.chosen.ID, logrus.Fields{"status": reply.Status, "after": s.lastEventID})
	return s.repeatOrFail("server does not continue the stream")
}

// handleServerError handles an answer with a 5xx status. It repeats the request where that is allowed, and otherwise
// delivers the error answer.
func (s *send) handleServerError(ctx context.Context, reply *Reply) (step, Result) {
	now := s.Clock()
	s.flight.settled = true
	s.excluded[s.chosen.ID] = true
	s.health.recordErrorAnswer(s.chosen.Instance())
	s.lastFailure = "server failed with " + http.StatusText(reply.Status)
	s.Releases.Observe(s.chosen.Server, lavcutover.Outcome{Kind: s.outcomeKind(s.chosen), Failed: true})
	s.Metrics.countSend(s.chosen, sendFailed)
	s.logDecision("server failed", s.chosen.ID, logrus.Fields{"status": reply.Status, "release": s.chosen.Release})
	if !s.answerBegun {
		body, err := s.readBuffered(reply.Body)
		if err == nil {
			s.recordSurvival()
		}
		if err == nil && reply.Signed {
			serverError := *reply
			serverError.Body = io.NopCloser(bytes.NewReader(body))
			s.serverError = &serverError
		} else if err != nil && ctx.Err() == nil {
			s.health.recordFailure(s.chosen.Instance(), now)
		}
	}
	return s.repeatOrFail("server failed")
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
func (s *send) deliverBuffered(ctx context.Context, reply *Reply) (step, Result) {
	body, err := s.readBuffered(reply.Body)
	now := s.Clock()
	if err == nil {
		s.recordSurvival()
	}
	if err != nil || !reply.Signed && reply.Status < http.StatusMultipleChoices {
		reason := "answer has no server signature"
		if err != nil {
			reason = err.Error()
		}
		s.lastFailure = reason
		if ctx.Err() != nil && !s.watchdog.hasFired() {
			return stepDone, s.fail("answer was not complete in time")
		}
		s.excluded[s.chosen.ID] = true
		if err != nil && !s.watchdog.hasFired() {
			s.recordEnding(err, now)
		}
		if !errors.Is(err, errBuffersFull) {
			s.health.recordFailure(s.chosen.Instance(), now)
		}
		s.Metrics.countSend(s.chosen, sendDamaged)
		s.logDecision("answer was damaged", s.chosen.ID, logrus.Fields{"reason": reason})
		return s.repeatOrFail("answer was damaged")
	}
	s.health.recordSuccess(s.chosen.Instance(), now)
	s.Metrics.countSend(s.chosen, sendAnswered)
	s.Releases.Observe(s.chosen.Server, lavcutover.Outcome{Kind: s.outcomeKind(s.chosen)})
	s.timing.Answered(now)
	if err := s.answer.Begin(reply.Status, reply.Header, len(body)); err != nil {
		return stepDone, Result{Broken: true}
	}
	if err := s.answer.Write(body); err != nil {
		return stepDone, Result{Broken: true}
	}
	return stepDone, Result{}
}

// deliverStream delivers complete events as they arrive. A stream that breaks off is resumed on another server after the
// last delivered event.
func (s *send) deliverStream(ctx context.Context, reply *Reply) (step, Result) {
	if !reply.Signed {
		s.excluded[s.chosen.ID] = true
		s.Metrics.countSend(s.chosen, sendDamaged)
		s.logDecision("answer was damaged", s.chosen.ID, logrus.Fields{"reason": "stream has no server signature"})
		return s.repeatOrFail("stream has no server signature")
	}
	s.job.MarkPromptRead()
	s.timing.Answered(s.Clock())
	s.recordFirstEvent()
	s.updateRecord(func(record *sendRecord) { record.headAfter = s.Clock().Sub(s.sentAt) })
	if s.runsLarger(reply) {
		return stepRepeat, Result{}
	}
	s.answeringModel = s.model
	s.confidence = reply.Confidence
	s.stream = streamState{}
	buffer := make([]byte, streamReadBytes)
	headAt := s.Clock()
	ahead := s.startReadAhead(reply)
	defer ahead.stop()
	for {
		count, err := ahead.Read(buffer)
		if count > 0 {
			s.recordAlive(reply)
			withDataBefore := s.stream.withData
			caughtUp := ahead.watch()
			deliverErr := s.deliverEvents(reply, buffer[:count])
			caughtUp()
			switch {
			case errors.Is(deliverErr, errDamagedStream):
				return s.handleBrokenStream(ctx, deliverErr)
			case deliverErr != nil:
				return stepDone, Result{Broken: true}
			}
			s.recordProgress(headAt, s.Clock())
			if s.endsEvent(withDataBefore) && s.mayResume() {
				s.watchdog.reset(s.pauseTimeout())
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return s.finishStream(reply)
		case errors.Is(err, errCallerTooSlow):
			return stepDone, Result{Broken: true}
		default:
			return s.handleBrokenStream(ctx, err)
		}
	}
}

// endsEvent notes since when the server has sent something other than whole events with data, such as a part of an event or comments, and
// reports whether what was read last ends one with data. The argument is the number of those that were read before.
func (s *send) endsEvent(withDataBefore int) bool {
	ends := s.stream.withData > withDataBefore
	switch {
	case ends && !s.stream.splitter.Partial():
		s.flight.partialSince.Store(0)
	case ends || s.flight.partialSince.Load() == 0:
		s.flight.partialSince.Store(s.Clock().UnixNano())
	}
	return ends
}

// startReadAhead starts to read the stream on while its caller is behind.
func (s *send) startReadAhead(reply *Reply) *readAhead {
	stream := &lavbuffer.Stream{Account: s.request.AccountID(), End: func() {
		s.Metrics.slowCallers.WithLabelValues(string(s.chosen.Service)).Inc()
		s.Log.WithFields(logrus.Fields{lavlog.FieldRequest: s.request.ID, lavlog.FieldAccount: s.request.AccountID()}).Info("slow caller ended")
		s.answer.Abort()
	}}
	ahead := startReadAhead(reply.Body, s.held, stream, s.Clock, s.flight.cancel, func() {
		s.health.recordActivity(s.chosen.Instance(), s.Clock())
	})
	s.flight.ahead.Store(ahead)
	return ahead
}

// recordFirstEvent records how long an engine took to the head of a stream, which it sends with the first event.
func (s *send) recordFirstEvent() {
	if s.request.Service.Engine == nil {
		return
	}
	now := s.Clock()
	s.Holdings.Share(s.request.promptKeys(s.model)[:s.request.sharedParts()], s.chosen.Instance(), now)
	s.observeFirst(s.chosen, now.Sub(s.sentAt), now)
	if s.chosen.unreadTokensBefore == 0 {
		s.speeds.recordRead(s.model, s.chosen.unreadTokens/s.readFactor(s.model), now.Sub(s.sentAt))
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
		s.withData++
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
func (s *send) deliverEvents(reply *Reply, data []byte) error {
	events, err := s.stream.splitter.Add(data)
	if deliverErr := s.deliverAll(reply, events); deliverErr != nil {
		return deliverErr
	}
	if err == nil {
		err = s.reserveBuffer(s.stream.splitter.Buffered())
	}
	if err != nil {
		return errors.Wrap(errDamagedStream, err.Error())
	}
	return nil
}

func (s *send) deliverAll(reply *Reply, events []lavevent.Event) error {
	for _, event := range events {
		if err := s.stream.check(event, s.resumeAfter()); err != nil {
			return err
		}
		if event.Empty {
			s.stream.emptyLines = append(s.stream.emptyLines, event.Bytes...)
			continue
		}
		if !s.answerBegun {
			if err := s.beginAnswer(reply); err != nil {
				return err
			}
		}
		if err := s.answer.Write(append(s.stream.emptyLines, event.Bytes...)); err != nil {
			return errors.Wrap(err, "deliver event")
		}
		s.stream.emptyLines = nil
		s.countEvent()
		if event.ID != "" {
			s.lastEventID = event.ID
		}
	}
	return nil
}

// beginAnswer delivers the head of a stream before its first event.
func (s *send) beginAnswer(reply *Reply) error {
	now := s.Clock()
	s.answerBegun = true
	s.firstEventAfter = now.Sub(s.request.Arrived)
	return s.answer.Begin(reply.Status, reply.Header, -1)
}

// countEvent counts a delivered event. After minPaceEvents later events it reports the stream to the cutovers.
func (s *send) countEvent() {
	now := s.Clock()
	s.deliveredEvents++
	if !s.lastEventAt.IsZero() {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	if s.stream.firstEventAt.IsZero() {
		s.stream.firstEventAt = now
		return
	}
	s.stream.laterEvents++
	if s.stream.laterEvents >= minPaceEvents && !s.stream.reported {
		s.reportStream(now)
	}
}

// reportStream reports a working stream and its mean pause to the cutovers.
func (s *send) reportStream(now time.Time) {
	s.stream.reported = true
	s.Releases.Observe(s.chosen.Server, lavcutover.Outcome{Kind: s.outcomeKind(s.chosen)})
	if s.stream.laterEvents > 0 {
		pause := now.Sub(s.stream.firstEventAt) / time.Duration(s.stream.laterEvents)
		s.speeds.recordPauses(s.answeringModel, now.Sub(s.stream.firstEventAt), s.stream.laterEvents)
		s.Releases.ObserveDuration(s.chosen.Server, "pause/"+string(s.answeringModel), pause)
	}
}

// finishStream ends a stream whose body was read to its end. A body that ends within an event counts as broken.
func (s *send) finishStream(reply *Reply) (step, Result) {
	if s.stream.splitter.Partial() {
		return s.resumeOrBreakOff(errors.Wrap(io.ErrUnexpectedEOF, "stream ended within an event"), false)
	}
	if s.stream.events() == 0 && s.resumeAfter() == "" {
		return s.resumeOrBreakOff(errors.Wrap(io.ErrUnexpectedEOF, "stream ended before its first event"), false)
	}
	s.recordSurvival()
	s.health.recordSuccess(s.chosen.Instance(), s.Clock())
	s.Metrics.countSend(s.chosen, sendAnswered)
	if !s.stream.reported {
		s.reportStream(s.Clock())
	}
	if !s.answerBegun {
		if err := s.answer.Begin(reply.Status, reply.Header, 0); err != nil {
			return stepDone, Result{Broken: true}
		}
	}
	if len(s.stream.emptyLines) > 0 && s.answerBegun {
		if err := s.answer.Write(s.stream.emptyLines); err != nil {
			return stepDone, Result{Broken: true}
		}
	}
	return stepDone, Result{}
}

// handleBrokenStream handles a stream that ended with an error before its end.
func (s *send) handleBrokenStream(ctx context.Context, err error) (step, Result) {
	stalled := s.watchdog.hasFired()
	if ctx.Err() == nil || stalled {
		return s.resumeOrBreakOff(err, stalled)
	}
	s.lastFailure = err.Error()
	if now := s.Clock(); s.isQuarantined(now) {
		return stepDone, s.failQuarantined(s.Quarantine.Refusal(s.keys, now))
	}
	return stepDone, s.fail("stream was not complete in time")
}

// resumeOrBreakOff resumes the stream on another server where that is allowed. Otherwise it ends the answer in a way
// that the caller recognises as incomplete. Stalled states that this host gave the server up for its silence.
func (s *send) resumeOrBreakOff(err error, stalled bool) (step, Result) {
	s.lastFailure = err.Error()
	now := s.Clock()
	if !s.flight.survived && !stalled {
		s.recordEnding(err, now)
	}
	s.excluded[s.chosen.ID] = true
	s.health.recordFailure(s.chosen.Instance(), now)
	s.Metrics.countSend(s.chosen, sendBrokeOff)
	fields := logrus.Fields{"after": s.lastEventID, "reason": err.Error(), "stalled": stalled, "server_events": s.stream.events()}
	s.logDecision("stream broke off", s.chosen.ID, s.progressFields(fields))
	return s.repeatOrFail("stream broke off")
}

// mayResume reports whether the route and its attempts allow the stream to be resumed on another server.
func (e *execution) mayResume() bool {
	return e.request.Route.Repeatable() && e.runs < e.request.Route.Attempts
}

// outcomeKind returns the kind of a send, as lavcutover.Outcome defines it. Sends of the same route and model are compared.
func (e *execution) outcomeKind(chosen choice) string {
	return e.request.Route.Name + "/" + string(chosen.model)
}
