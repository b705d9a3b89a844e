package lavforward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/modules/lavexchange"
)

// serverScript scripts how the servers treat the sends of one request, and counts the sends that arrived and ran.
type serverScript struct {
	runs int
	// runs counts the sends that a server ran, and arrived those that reached a server.
	arrived int
	events  int
	replies []func(Dispatch) (*Reply, error)
}

// lose returns a send without an answer; it may have reached the server and may have run.
func (s *serverScript) lose(sent, ran bool) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		if ran {
			s.runs++
		}
		if sent {
			s.arrived++
		}
		return nil, lavexchange.ErrExchange{Sent: sent, Reason: "connection reset"}
	}
}

// refuse returns a send that a server refuses without running it.
func (s *serverScript) refuse(status int) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		s.arrived++
		return &Reply{Status: status, Header: http.Header{}, NotRun: true, OtherServer: status == http.StatusMisdirectedRequest, Body: io.NopCloser(&bytes.Buffer{})}, nil
	}
}

// answer returns a complete answer with the given status, signed or not.
func (s *serverScript) answer(status int, signed bool) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		s.runs++
		s.arrived++
		return &Reply{Status: status, Header: http.Header{}, Signed: signed, Body: io.NopCloser(bytes.NewBufferString("whole"))}, nil
	}
}

func numberedEvent(number int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", number, number) }

// The ways in which a scripted stream ends.
const (
	endsWhole       = "whole"
	endsBroken      = "breaks off"
	endsWithinEvent = "ends within an event"
	endsUnsigned    = "unsigned"
)

// stream returns a stream that starts after the event named by the send. It delivers up to count events unless it is to
// be complete, and ends in the given way.
// The confidence is that of the model in its answer.
func (s *serverScript) stream(count int, end string, confidence int) func(Dispatch) (*Reply, error) {
	return func(dispatch Dispatch) (*Reply, error) {
		s.runs++
		s.arrived++
		after := 0
		_, _ = fmt.Sscan(dispatch.ResumeAfter, &after)
		var text bytes.Buffer
		last := s.events
		if end == endsBroken || end == endsWithinEvent {
			last = min(after+count, s.events)
			defer text.WriteString("id: 9")
		}
		for number := after + 1; number <= last; number++ {
			text.WriteString(numberedEvent(number))
		}
		if end == endsUnsigned {
			text.WriteString(numberedEvent(s.events + 1))
		}
		var body io.Reader = &text
		if end == endsBroken {
			body = io.MultiReader(&text, failingReader{})
		}
		return &Reply{
			Status: http.StatusOK, Header: http.Header{}, Signed: end != endsUnsigned, Body: io.NopCloser(body),
			Confidence: confidence, HasConfidence: true,
		}, nil
	}
}

func (s *serverScript) draw(t *rapid.T, kind lavroute.Kind) func(Dispatch) (*Reply, error) {
	sendResult := rapid.SampledFrom([]string{"lost unsent", "lost", "lost after run", "full", "moved", "failed", "rejected", "damaged", "answer"}).Draw(t, "send")
	switch sendResult {
	case "lost unsent":
		return s.lose(false, false)
	case "lost":
		return s.lose(true, false)
	case "lost after run":
		return s.lose(true, true)
	case "full":
		return s.refuse(http.StatusServiceUnavailable)
	case "moved":
		return s.refuse(http.StatusMisdirectedRequest)
	case "failed":
		return s.answer(http.StatusInternalServerError, true)
	case "rejected":
		return s.answer(http.StatusConflict, true)
	case "damaged":
		return s.answer(http.StatusOK, false)
	}
	if kind == lavroute.Streaming {
		return s.stream(rapid.IntRange(0, 4).Draw(t, "events"), rapid.SampledFrom([]string{endsWhole, endsBroken, endsWithinEvent, endsUnsigned}).Draw(t, "end"), rapid.SampledFrom([]int{1, 90}).Draw(t, "confidence"))
	}
	return s.answer(http.StatusOK, true)
}

// TestDeliveryInvariantsHoldForAnySends draws random sequences of lost, refused, failed, damaged and broken sends. It
// checks that once-only requests run at most once, that attempts are bounded, that no server gets a request twice, that a
// 503 refusal means nothing ran, and that an answer that appears complete is complete and in order.
func TestDeliveryInvariantsHoldForAnySends(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]lavroute.Kind{lavroute.OnceOnly, lavroute.Idempotent, lavroute.Streaming}).Draw(t, "kind")
		request := newRequest(kind)
		request.Route.Attempts = rapid.IntRange(1, 4).Draw(t, "attempts")
		request.Route.Resumable = rapid.Bool().Draw(t, "resumable")
		if rapid.Bool().Draw(t, "choice of models") {
			request.Service.Engine = &lavroute.Engine{Slots: 8, Capacity: 100000, EventTokens: 3}
			request.Route.Models = []lavid.ModelID{small, large}
		}
		s := &serverScript{events: rapid.IntRange(1, 6).Draw(t, "stream")}
		for range 12 {
			s.replies = append(s.replies, s.draw(t, kind))
		}
		servers := rapid.IntRange(1, 6).Draw(t, "servers")
		f := newFixture(servers, s.replies...)
		answer, result := f.serve(request)
		allowed := servers
		if len(request.Route.Models) > 0 {
			allowed++ // the larger model may be asked of the server whose answer was dropped
		}
		if len(f.sends) > allowed {
			t.Fatalf("BUDGET: %d sends to %d servers", len(f.sends), servers)
		}
		if err := s.check(request, answer, result); err != nil {
			t.Fatal(err)
		}
	})
}

func (s *serverScript) check(request *Request, answer *recordedAnswer, result Result) error {
	repeatable := request.Route.Repeatable()
	switch {
	case !repeatable && s.runs > 1:
		return errors.Errorf("TWICE: %d runs", s.runs)
	case s.runs > request.Route.Attempts:
		return errors.Errorf("BUDGET: %d runs of %d attempts", s.runs, request.Route.Attempts)
	case s.arrived > request.Route.Attempts+maxRefusedSends:
		return errors.Errorf("BUDGET: %d servers reached for %d attempts", s.arrived, request.Route.Attempts)
	case result.Refusal != nil && result.Refusal.Status == http.StatusServiceUnavailable && s.runs > 0:
		return errors.Errorf("REFUSED: %d runs", s.runs)
	case result.Refusal != nil && answer.body.Len() > 0:
		return errors.New("MIXED: a refusal after a part of an answer")
	case result.Refusal != nil || answer.status >= http.StatusInternalServerError:
		return nil
	case request.Route.Kind != lavroute.Streaming || answer.status == http.StatusConflict:
		if answer.body.String() != "whole" && !result.Broken {
			return errors.Errorf("MIXED: answer %q", answer.body.String())
		}
		return nil
	}
	var whole bytes.Buffer
	for number := 1; number <= s.events; number++ {
		whole.WriteString(numberedEvent(number))
	}
	if !bytes.HasPrefix(whole.Bytes(), answer.body.Bytes()) || !result.Broken && whole.Len() != answer.body.Len() {
		return errors.Errorf("ORDER: %q, broken %t", answer.body.String(), result.Broken)
	}
	return nil
}
