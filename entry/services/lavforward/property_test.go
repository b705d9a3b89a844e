package lavforward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/modules/lavexchange"
)

// played is a script of what the servers do with a request's sends, with what really ran.
type serverScript struct {
	runs int
	// arrived counts the sends that reached a server.
	arrived int
	events  int
	replies []func(Dispatch) (*Reply, error)
}

// lose makes a send that is lost before or after it ran.
func (p *serverScript) lose(sent, ran bool) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		if ran {
			p.runs++
		}
		if sent {
			p.arrived++
		}
		return nil, lavexchange.ErrExchange{Sent: sent, Reason: "connection reset"}
	}
}

// refuse makes a send that a server refuses without running it.
func (p *serverScript) refuse(status int) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		p.arrived++
		return &Reply{Status: status, Header: http.Header{}, NotRun: true, OtherServer: status == http.StatusMisdirectedRequest, Body: io.NopCloser(&bytes.Buffer{})}, nil
	}
}

// answer makes a whole answer of a status, genuine or not.
func (p *serverScript) answer(status int, genuine bool) func(Dispatch) (*Reply, error) {
	return func(Dispatch) (*Reply, error) {
		p.runs++
		p.arrived++
		return &Reply{Status: status, Header: http.Header{}, Signed: genuine, Body: io.NopCloser(bytes.NewBufferString("whole"))}, nil
	}
}

func numberedEvent(number int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", number, number) }

// The ends of a stream.
const (
	endsWhole  = "whole"
	breaksOff  = "breaks off"
	endsHalf   = "ends within an event"
	lacksProof = "lacks its proof"
)

// stream makes a stream that goes on after the event that the send names, for some events, and ends in a stated way.
func (p *serverScript) stream(count int, end string) func(Dispatch) (*Reply, error) {
	return func(dispatch Dispatch) (*Reply, error) {
		p.runs++
		p.arrived++
		after := 0
		_, _ = fmt.Sscan(dispatch.ResumeAfter, &after)
		var text bytes.Buffer
		last := p.events
		if end == breaksOff || end == endsHalf {
			last = min(after+count, p.events)
			defer text.WriteString("id: 9")
		}
		for number := after + 1; number <= last; number++ {
			text.WriteString(numberedEvent(number))
		}
		if end == lacksProof {
			text.WriteString(numberedEvent(p.events + 1))
		}
		var body io.Reader = &text
		if end == breaksOff {
			body = io.MultiReader(&text, failingReader{})
		}
		return &Reply{Status: http.StatusOK, Header: http.Header{}, Signed: end != lacksProof, Body: io.NopCloser(body)}, nil
	}
}

func (p *serverScript) draw(t *rapid.T, kind lavroute.Kind) func(Dispatch) (*Reply, error) {
	what := rapid.SampledFrom([]string{"lost unsent", "lost", "lost after run", "full", "moved", "failed", "damaged", "answer"}).Draw(t, "send")
	switch what {
	case "lost unsent":
		return p.lose(false, false)
	case "lost":
		return p.lose(true, false)
	case "lost after run":
		return p.lose(true, true)
	case "full":
		return p.refuse(http.StatusServiceUnavailable)
	case "moved":
		return p.refuse(http.StatusMisdirectedRequest)
	case "failed":
		return p.answer(http.StatusInternalServerError, true)
	case "damaged":
		return p.answer(http.StatusOK, false)
	}
	if kind == lavroute.Streaming {
		return p.stream(rapid.IntRange(0, 4).Draw(t, "events"), rapid.SampledFrom([]string{endsWhole, breaksOff, endsHalf, lacksProof}).Draw(t, "end"))
	}
	return p.answer(http.StatusOK, true)
}

// TestPromisesHoldForAnySends checks, for sends that are lost, refused, failed, damaged or broken off in any order, that
// once-only requests run once, that attempts stay bounded and no server is asked twice, that a refusal "not run" is true, and that an answer that
// looks whole is whole and in order.
func TestDeliveryInvariantsHoldForAnySends(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		kind := rapid.SampledFrom([]lavroute.Kind{lavroute.OnceOnly, lavroute.Idempotent, lavroute.Streaming}).Draw(t, "kind")
		asked := newRequest(kind)
		asked.Route.Attempts = rapid.IntRange(1, 4).Draw(t, "attempts")
		asked.Route.Resumable = rapid.Bool().Draw(t, "resumable")
		p := &serverScript{events: rapid.IntRange(1, 6).Draw(t, "stream")}
		for range 12 {
			p.replies = append(p.replies, p.draw(t, kind))
		}
		servers := rapid.IntRange(1, 6).Draw(t, "servers")
		w := newFixture(servers, p.replies...)
		answer, result := w.serve(asked)
		if len(w.sends) > servers {
			t.Fatalf("BUDGET: %d sends to %d servers", len(w.sends), servers)
		}
		if err := p.check(asked, answer, result); err != nil {
			t.Fatal(err)
		}
	})
}

func (p *serverScript) check(asked *Request, answer *recordedAnswer, result Result) error {
	repeatable := asked.Route.Repeatable()
	switch {
	case !repeatable && p.runs > 1:
		return errors.Errorf("TWICE: %d runs", p.runs)
	case p.runs > asked.Route.Attempts:
		return errors.Errorf("BUDGET: %d runs of %d attempts", p.runs, asked.Route.Attempts)
	case p.arrived > asked.Route.Attempts+maxRefusedSends:
		return errors.Errorf("BUDGET: %d servers reached for %d attempts", p.arrived, asked.Route.Attempts)
	case result.Refusal != nil && result.Refusal.Status == http.StatusServiceUnavailable && p.runs > 0:
		return errors.Errorf("REFUSED: %d runs", p.runs)
	case result.Refusal != nil && answer.body.Len() > 0:
		return errors.New("MIXED: a refusal after a part of an answer")
	case result.Refusal != nil || answer.status >= http.StatusInternalServerError:
		return nil
	case asked.Route.Kind != lavroute.Streaming:
		if answer.body.String() != "whole" && !result.Broken {
			return errors.Errorf("MIXED: answer %q", answer.body.String())
		}
		return nil
	}
	var whole bytes.Buffer
	for number := 1; number <= p.events; number++ {
		whole.WriteString(numberedEvent(number))
	}
	if !bytes.HasPrefix(whole.Bytes(), answer.body.Bytes()) || !result.Broken && whole.Len() != answer.body.Len() {
		return errors.Errorf("ORDER: %q, broken %t", answer.body.String(), result.Broken)
	}
	return nil
}
