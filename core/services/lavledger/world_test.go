package lavledger

import (
	"context"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
)

// world holds processes, entries and operators over one table whose writes are lost, late and repeated.
//
// Every call to the table may let other participants act before and after it
// takes effect, so that one drawn run is one interleaving.
type world struct {
	t         *rapid.T
	rows      map[string]lavplatform.Row
	late      []func()
	sides     []*side
	attempts  []Claim
	dispatch  map[lavid.RequestID]lavid.AttemptID
	notRun    map[lavid.AttemptID]bool
	sentTo    map[lavid.AttemptID]ProcessID
	depth     int
	acting    *side
	unchecked bool
}

type side struct {
	address  string
	starts   int
	holdings *Holdings
}

type killed struct{}

const (
	maxDepth  = 3
	sideCount = 2
	// attemptCount attempts of one request are spread over the sides.
	attemptCount = 4
)

func newWorld(t *rapid.T) *world {
	w := &world{t: t, rows: map[string]lavplatform.Row{}, dispatch: map[lavid.RequestID]lavid.AttemptID{}, notRun: map[lavid.AttemptID]bool{}, sentTo: map[lavid.AttemptID]ProcessID{}}
	for i := range sideCount {
		w.sides = append(w.sides, &side{address: fmt.Sprint(i), holdings: NewHoldings()})
	}
	for i := range attemptCount {
		w.attempts = append(w.attempts, Claim{
			Account: "account", Request: "request", Attempt: lavid.AttemptID(fmt.Sprint(i)), Holder: fmt.Sprint(i % sideCount),
		})
	}
	return w
}

func (s *side) process() ProcessID { return ProcessID(fmt.Sprintf("%s.%d", s.address, s.starts)) }

func (w *world) ledger() *Ledger {
	return NewLimited(w, Limits{GiveUpAfter: time.Nanosecond, Pause: time.Hour})
}

// call makes a write of the acting process: it may be lost, late or lose its reply.
func (w *world) call(write func() lavplatform.WriteResult) (lavplatform.WriteResult, error) {
	actor := w.acting
	starts := 0
	if actor != nil {
		starts = actor.starts
	}
	w.others()
	fate := rapid.IntRange(0, 5).Draw(w.t, "fate")
	var written lavplatform.WriteResult
	switch fate {
	case 0:
		w.late = append(w.late, func() { write() })
	case 1:
	default:
		written = write()
	}
	if w.others() {
		w.unchecked = true
	}
	if actor != nil && actor.starts != starts {
		panic(killed{})
	}
	if fate < 3 {
		return lavplatform.WriteResult{}, lavplatform.ErrStoreUnavailable{Reason: "drawn"}
	}
	return written, nil
}

// others lets another participant act in the middle of a call and returns whether one did.
func (w *world) others() bool {
	if w.depth >= maxDepth || rapid.IntRange(0, 3).Draw(w.t, "others") != 0 {
		return false
	}
	actor, unchecked := w.acting, w.unchecked
	w.depth++
	for range rapid.IntRange(1, 3).Draw(w.t, "acts") {
		w.step()
	}
	w.depth--
	w.acting, w.unchecked = actor, unchecked
	return true
}

func (w *world) Insert(_ context.Context, insert lavplatform.Insert) (lavplatform.WriteResult, error) {
	return w.call(func() lavplatform.WriteResult {
		if row, ok := w.rows[insert.Key]; ok {
			return lavplatform.WriteResult{Won: row.Writer == insert.Writer, Row: row}
		}
		row := lavplatform.Row{Key: insert.Key, Revision: 1, Writer: insert.Writer, Value: insert.Value}
		w.rows[insert.Key] = row
		return lavplatform.WriteResult{Won: true, Row: row}
	})
}

func (w *world) Swap(_ context.Context, swap lavplatform.Swap) (lavplatform.WriteResult, error) {
	return w.call(func() lavplatform.WriteResult {
		row := w.rows[swap.Key]
		if row.Revision != swap.Revision {
			return lavplatform.WriteResult{Won: row.Revision == swap.Revision+1 && row.Writer == swap.Writer, Row: row}
		}
		row = lavplatform.Row{Key: swap.Key, Revision: row.Revision + 1, Writer: swap.Writer, Value: swap.Value}
		w.rows[swap.Key] = row
		return lavplatform.WriteResult{Won: true, Row: row}
	})
}

func (w *world) Get(_ context.Context, table, key string) (lavplatform.Row, error) {
	found := false
	written, err := w.call(func() lavplatform.WriteResult {
		row, ok := w.rows[key]
		found = ok
		return lavplatform.WriteResult{Row: row}
	})
	if err == nil && !found {
		return lavplatform.Row{}, lavplatform.ErrRowNotExist{Table: table, Key: key}
	}
	return written.Row, err
}

func (w *world) Scan(context.Context, string, string, int) ([]lavplatform.Row, error) {
	return nil, lavplatform.ErrStoreUnavailable{Reason: "not drawn"}
}

// Ask answers for the process at the address now, or not at all.
func (w *world) Ask(_ context.Context, _ Claim, entry Entry) Report {
	w.others()
	if rapid.IntRange(0, 4).Draw(w.t, "reached") == 0 {
		return Report{}
	}
	for _, holder := range w.sides {
		if holder.address == entry.Holder {
			return Report{Reached: true, Process: holder.process(), Phase: holder.holdings.Phase(entry.Attempt)}
		}
	}
	return Report{}
}

// step lets one drawn participant act.
func (w *world) step() {
	claim := rapid.SampledFrom(w.attempts).Draw(w.t, "attempt")
	owner := w.sides[int(claim.Holder[0]-'0')]
	switch rapid.IntRange(0, 9).Draw(w.t, "action") {
	case 0, 1, 2:
		w.deliver(owner, claim)
	case 3:
		w.sealAtSide(owner, claim)
	case 4:
		w.sealInLedger(claim)
	case 5:
		owner.starts++
		owner.holdings = NewHoldings()
	case 6:
		w.applyLate()
	case 7:
		w.finish(owner, claim)
	case 8:
		w.settle(claim)
	case 9:
		w.expire(owner)
	}
}

// connected tells whether the attempt's connection leads to the present process of its side; a restart ends it.
func (w *world) connected(owner *side, claim Claim) bool {
	if _, ok := w.sentTo[claim.Attempt]; !ok {
		w.sentTo[claim.Attempt] = owner.process()
	}
	return w.sentTo[claim.Attempt] == owner.process()
}

func (w *world) sealAtSide(owner *side, claim Claim) {
	w.connected(owner, claim)
	phase := owner.holdings.Seal(claim.Attempt, time.Time{})
	if phase == PhaseBarred {
		w.sealInLedger(claim)
		return
	}
	if phase == PhaseAbandoned && w.connected(owner, claim) {
		w.sayNotRun(claim)
	}
}

func (w *world) sealInLedger(claim Claim) {
	w.acting = nil
	if position, err := w.ledger().Seal(context.Background(), claim); err == nil && position.NotRun {
		w.sayNotRun(claim)
	}
}

func (w *world) applyLate() {
	if len(w.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.late)-1).Draw(w.t, "late")
	write := w.late[i]
	write()
	if rapid.Bool().Draw(w.t, "once") {
		w.late = append(w.late[:i:i], w.late[i+1:]...)
	}
}

// expire forgets what is final; the connections of those attempts have ended long before.
func (w *world) expire(owner *side) {
	for _, claim := range w.attempts {
		phase := owner.holdings.Phase(claim.Attempt)
		if phase != PhaseClaiming && phase != PhaseDispatched {
			w.sentTo[claim.Attempt] = "expired"
		}
	}
	owner.holdings.Expire(-1, time.Time{})
}

// settle looks at the truth once the call is fenced, as the operators' guide asks.
func (w *world) settle(claim Claim) {
	w.acting = nil
	position, err := decode(w.rows[Key(claim.Account, claim.Request)])
	attempt, ran := w.dispatch[claim.Request]
	ran = ran && attempt == claim.Attempt
	settlement := Settlement{Account: claim.Account, Request: claim.Request, Attempt: claim.Attempt, Ran: ran, Operator: "operator"}
	settled := time.Time{}.Add(time.Hour)
	if err == nil && position.Entry.Forbids(claim.Attempt) {
		settled = settled.Add(SettleDelay)
	}
	if _, err := w.ledger().Settle(context.Background(), settlement, settled); err == nil && !ran {
		w.sayNotRun(claim)
	}
}

func (w *world) finish(owner *side, claim Claim) {
	if owner.holdings.Phase(claim.Attempt) != PhaseDispatched {
		return
	}
	w.acting = owner
	claim.Process = owner.process()
	defer w.recoverKilled()
	owner.holdings.End(claim.Attempt, time.Time{})
	_ = w.ledger().Finish(context.Background(), claim, Answer{})
}

// deliver does what the side process does with an attempt.
func (w *world) deliver(owner *side, claim Claim) {
	if !w.connected(owner, claim) || !owner.holdings.Open(claim.Attempt, time.Time{}) {
		return
	}
	defer w.recoverKilled()
	w.acting, w.unchecked = owner, false
	claim.Process = owner.process()
	verdict, err := w.ledger().Acquire(context.Background(), claim, w)
	for err == nil && verdict.Action == ActionDispatch && w.unchecked {
		w.unchecked = false
		verdict, err = w.ledger().Confirm(context.Background(), claim)
	}
	if err == nil && verdict.Action == ActionDispatch && owner.holdings.Commit(claim.Attempt, time.Time{}.Add(1), time.Time{}) {
		w.run(claim)
		return
	}
	if owner.holdings.Abandon(claim.Attempt, time.Time{}) == PhaseAbandoned {
		w.sayNotRun(claim)
	}
	if rapid.Bool().Draw(w.t, "release") {
		_ = w.ledger().Release(context.Background(), claim)
	}
}

func (w *world) recoverKilled() {
	if cause := recover(); cause != nil {
		if _, ok := cause.(killed); !ok {
			panic(cause)
		}
	}
}

func (w *world) run(claim Claim) {
	if before, ok := w.dispatch[claim.Request]; ok {
		w.t.Fatalf("request %s ran as attempt %s and again as %s", claim.Request, before, claim.Attempt)
	}
	if w.notRun[claim.Attempt] {
		w.t.Fatalf("attempt %s ran after it was said not to run", claim.Attempt)
	}
	w.dispatch[claim.Request] = claim.Attempt
}

func (w *world) sayNotRun(claim Claim) {
	if w.dispatch[claim.Request] == claim.Attempt {
		w.t.Fatalf("attempt %s was said not to run after it ran", claim.Attempt)
	}
	w.notRun[claim.Attempt] = true
}
