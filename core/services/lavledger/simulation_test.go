package lavledger

import (
	"context"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
)

// simulation runs side processes, entry hosts and operators over one table whose writes can be lost, delayed and repeated.
//
// Each call to the table may let other participants act before and after it takes effect, so that one drawn run is one
// interleaving.
type simulation struct {
	t            *rapid.T
	rows         map[string]lavplatform.Row
	late         []func()
	sides        []*sideProcess
	attempts     []Claim
	dispatched   map[lavid.RequestID]lavid.AttemptID
	notRun       map[lavid.AttemptID]bool
	connectedTo  map[lavid.AttemptID]ProcessID
	depth        int
	acting       *sideProcess
	needsConfirm bool
}

type sideProcess struct {
	address  string
	starts   int
	attempts *Attempts
}

type processKilled struct{}

const (
	maxDepth  = 3
	sideCount = 2
	// attemptCount is the number of attempts of the one request; they are spread over the side processes.
	attemptCount = 4
)

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, rows: map[string]lavplatform.Row{}, dispatched: map[lavid.RequestID]lavid.AttemptID{}, notRun: map[lavid.AttemptID]bool{}, connectedTo: map[lavid.AttemptID]ProcessID{}}
	for i := range sideCount {
		w.sides = append(w.sides, &sideProcess{address: fmt.Sprint(i), attempts: NewAttempts()})
	}
	for i := range attemptCount {
		w.attempts = append(w.attempts, Claim{
			Account: "account", Request: "request", Attempt: lavid.AttemptID(fmt.Sprint(i)), Holder: fmt.Sprint(i % sideCount),
		})
	}
	return w
}

func (s *sideProcess) process() ProcessID {
	return ProcessID(fmt.Sprintf("%s.%d", s.address, s.starts))
}

func (w *simulation) ledger() *Ledger {
	return NewWithLimits(w, Limits{Timeout: time.Nanosecond, RetryInterval: time.Hour})
}

// call makes a write of the acting process. The write may be lost or delayed, or its reply may be lost.
func (w *simulation) call(write func() lavplatform.Written) (lavplatform.Written, error) {
	actor := w.acting
	starts := 0
	if actor != nil {
		starts = actor.starts
	}
	w.interleave()
	fate := rapid.IntRange(0, 5).Draw(w.t, "fate")
	var written lavplatform.Written
	switch fate {
	case 0:
		w.late = append(w.late, func() { write() })
	case 1:
	default:
		written = write()
	}
	if w.interleave() {
		w.needsConfirm = true
	}
	if actor != nil && actor.starts != starts {
		panic(processKilled{})
	}
	if fate < 3 {
		return lavplatform.Written{}, lavplatform.ErrStoreUnavailable{Reason: "drawn"}
	}
	return written, nil
}

// interleave may let other participants act in the middle of a call, and reports whether it did.
func (w *simulation) interleave() bool {
	if w.depth >= maxDepth || rapid.IntRange(0, 3).Draw(w.t, "others") != 0 {
		return false
	}
	actor, unchecked := w.acting, w.needsConfirm
	w.depth++
	for range rapid.IntRange(1, 3).Draw(w.t, "acts") {
		w.step()
	}
	w.depth--
	w.acting, w.needsConfirm = actor, unchecked
	return true
}

func (w *simulation) Insert(_ context.Context, insert lavplatform.Insert) (lavplatform.Written, error) {
	return w.call(func() lavplatform.Written {
		if row, ok := w.rows[insert.Key]; ok {
			return lavplatform.Written{Won: row.Writer == insert.Writer, Row: row}
		}
		row := lavplatform.Row{Key: insert.Key, Revision: 1, Writer: insert.Writer, Value: insert.Value}
		w.rows[insert.Key] = row
		return lavplatform.Written{Won: true, Row: row}
	})
}

func (w *simulation) Swap(_ context.Context, swap lavplatform.Swap) (lavplatform.Written, error) {
	return w.call(func() lavplatform.Written {
		row := w.rows[swap.Key]
		if row.Revision != swap.Revision {
			return lavplatform.Written{Won: row.Revision == swap.Revision+1 && row.Writer == swap.Writer, Row: row}
		}
		row = lavplatform.Row{Key: swap.Key, Revision: row.Revision + 1, Writer: swap.Writer, Value: swap.Value}
		w.rows[swap.Key] = row
		return lavplatform.Written{Won: true, Row: row}
	})
}

func (w *simulation) Get(_ context.Context, table, key string) (lavplatform.Row, error) {
	found := false
	written, err := w.call(func() lavplatform.Written {
		row, ok := w.rows[key]
		found = ok
		return lavplatform.Written{Row: row}
	})
	if err == nil && !found {
		return lavplatform.Row{}, lavplatform.ErrRowNotExist{Table: table, Key: key}
	}
	return written.Row, err
}

func (w *simulation) Scan(context.Context, string, string, int) ([]lavplatform.Row, error) {
	return nil, lavplatform.ErrStoreUnavailable{Reason: "not drawn"}
}

// Query answers for the process that now runs at the holder's address, or reports that it was not reached.
func (w *simulation) Query(_ context.Context, _ Claim, entry Entry) HolderReport {
	w.interleave()
	if rapid.IntRange(0, 4).Draw(w.t, "reached") == 0 {
		return HolderReport{}
	}
	for _, holder := range w.sides {
		if holder.address == entry.Holder {
			return HolderReport{Reached: true, Process: holder.process(), Phase: holder.attempts.Phase(entry.Attempt)}
		}
	}
	return HolderReport{}
}

// step lets one drawn participant act.
func (w *simulation) step() {
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
		owner.attempts = NewAttempts()
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

// connected reports whether the attempt's connection leads to the current process of its side; a restart closes it.
func (w *simulation) connected(owner *sideProcess, claim Claim) bool {
	if _, ok := w.connectedTo[claim.Attempt]; !ok {
		w.connectedTo[claim.Attempt] = owner.process()
	}
	return w.connectedTo[claim.Attempt] == owner.process()
}

func (w *simulation) sealAtSide(owner *sideProcess, claim Claim) {
	w.connected(owner, claim)
	phase := owner.attempts.Seal(claim.Attempt, time.Time{})
	if phase == PhaseBarred {
		w.sealInLedger(claim)
		return
	}
	if phase == PhaseAbandoned && w.connected(owner, claim) {
		w.reportNotRun(claim)
	}
}

func (w *simulation) sealInLedger(claim Claim) {
	w.acting = nil
	if stored, err := w.ledger().Seal(context.Background(), claim); err == nil && stored.NotRun {
		w.reportNotRun(claim)
	}
}

func (w *simulation) applyLate() {
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

// expire deletes the attempts in a final phase, whose connections have closed long before.
func (w *simulation) expire(owner *sideProcess) {
	for _, claim := range w.attempts {
		phase := owner.attempts.Phase(claim.Attempt)
		if phase != PhaseClaiming && phase != PhaseDispatched {
			w.connectedTo[claim.Attempt] = "expired"
		}
	}
	owner.attempts.Expire(-1, time.Time{})
}

// settle looks up whether the call ran, as an operator does at the backend server, and settles it accordingly.
func (w *simulation) settle(claim Claim) {
	w.acting = nil
	stored, err := decode(w.rows[Key(claim.Account, claim.Request)])
	attempt, ran := w.dispatched[claim.Request]
	ran = ran && attempt == claim.Attempt
	settlement := Settlement{Account: claim.Account, Request: claim.Request, Attempt: claim.Attempt, Ran: ran, Operator: "operator"}
	settled := time.Time{}.Add(time.Hour)
	if err == nil && stored.Entry.IsSealed(claim.Attempt) {
		settled = settled.Add(SettleDelay)
	}
	if _, err := w.ledger().Settle(context.Background(), settlement, settled); err == nil && !ran {
		w.reportNotRun(claim)
	}
}

func (w *simulation) finish(owner *sideProcess, claim Claim) {
	if owner.attempts.Phase(claim.Attempt) != PhaseDispatched {
		return
	}
	w.acting = owner
	claim.Process = owner.process()
	defer w.recoverKilled()
	owner.attempts.End(claim.Attempt, time.Time{})
	_ = w.ledger().Finish(context.Background(), claim, Answer{})
}

// deliver handles an attempt in the same steps as a side process.
func (w *simulation) deliver(owner *sideProcess, claim Claim) {
	if !w.connected(owner, claim) || !owner.attempts.Open(claim.Attempt, time.Time{}) {
		return
	}
	defer w.recoverKilled()
	w.acting, w.needsConfirm = owner, false
	claim.Process = owner.process()
	decision, err := w.ledger().Acquire(context.Background(), claim, w)
	for err == nil && decision.Action == ActionDispatch && w.needsConfirm {
		w.needsConfirm = false
		decision, err = w.ledger().Confirm(context.Background(), claim)
	}
	if err == nil && decision.Action == ActionDispatch && owner.attempts.Commit(claim.Attempt, time.Time{}.Add(1), time.Time{}) {
		w.run(claim)
		return
	}
	if owner.attempts.Abandon(claim.Attempt, time.Time{}) == PhaseAbandoned {
		w.reportNotRun(claim)
	}
	if rapid.Bool().Draw(w.t, "release") {
		_ = w.ledger().Release(context.Background(), claim)
	}
}

func (w *simulation) recoverKilled() {
	if cause := recover(); cause != nil {
		if _, ok := cause.(processKilled); !ok {
			panic(cause)
		}
	}
}

func (w *simulation) run(claim Claim) {
	if before, ok := w.dispatched[claim.Request]; ok {
		w.t.Fatalf("request %s ran as attempt %s and again as %s", claim.Request, before, claim.Attempt)
	}
	if w.notRun[claim.Attempt] {
		w.t.Fatalf("attempt %s ran after it was reported as not run", claim.Attempt)
	}
	w.dispatched[claim.Request] = claim.Attempt
}

func (w *simulation) reportNotRun(claim Claim) {
	if w.dispatched[claim.Request] == claim.Attempt {
		w.t.Fatalf("attempt %s was reported as not run after it ran", claim.Attempt)
	}
	w.notRun[claim.Attempt] = true
}
