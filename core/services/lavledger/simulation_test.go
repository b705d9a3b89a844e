package lavledger

import (
	"context"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
)

// simulation runs side processes, entry hosts and operators over one table whose writes can be lost, delayed and
// repeated.
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
	s := &simulation{t: t, rows: map[string]lavplatform.Row{}, dispatched: map[lavid.RequestID]lavid.AttemptID{}, notRun: map[lavid.AttemptID]bool{}, connectedTo: map[lavid.AttemptID]ProcessID{}}
	for i := range sideCount {
		s.sides = append(s.sides, &sideProcess{address: fmt.Sprint(i), attempts: NewAttempts()})
	}
	for i := range attemptCount {
		s.attempts = append(s.attempts, Claim{
			Account: "account", Request: "request", Attempt: lavid.AttemptID(fmt.Sprint(i)), Holder: fmt.Sprint(i % sideCount),
		})
	}
	return s
}

func (s *sideProcess) process() ProcessID {
	return ProcessID(fmt.Sprintf("%s.%d", s.address, s.starts))
}

func (s *simulation) ledger() *Ledger {
	return NewWithLimits(s, Limits{Timeout: time.Nanosecond, RetryInterval: time.Hour})
}

// call makes a write of the acting process. The write may be lost or delayed, or its reply may be lost.
func (s *simulation) call(write func() lavplatform.WriteResult) (lavplatform.WriteResult, error) {
	actor := s.acting
	starts := 0
	if actor != nil {
		starts = actor.starts
	}
	s.interleave()
	fate := rapid.IntRange(0, 5).Draw(s.t, "fate")
	var written lavplatform.WriteResult
	switch fate {
	case 0:
		s.late = append(s.late, func() { write() })
	case 1:
	default:
		written = write()
	}
	if s.interleave() {
		s.needsConfirm = true
	}
	if actor != nil && actor.starts != starts {
		panic(processKilled{})
	}
	if fate < 3 {
		return lavplatform.WriteResult{}, lavplatform.ErrStoreUnavailable{Reason: "drawn"}
	}
	return written, nil
}

// interleave may let other participants act in the middle of a call, and reports whether it did.
func (s *simulation) interleave() bool {
	if s.depth >= maxDepth || rapid.IntRange(0, 3).Draw(s.t, "others") != 0 {
		return false
	}
	actor, needsConfirm := s.acting, s.needsConfirm
	s.depth++
	for range rapid.IntRange(1, 3).Draw(s.t, "acts") {
		s.step()
	}
	s.depth--
	s.acting, s.needsConfirm = actor, needsConfirm
	return true
}

func (s *simulation) Insert(_ context.Context, insert lavplatform.Insert) (lavplatform.WriteResult, error) {
	return s.call(func() lavplatform.WriteResult {
		if row, ok := s.rows[insert.Key]; ok {
			return lavplatform.WriteResult{Won: row.Writer == insert.Writer, Row: row}
		}
		row := lavplatform.Row{Key: insert.Key, Revision: 1, Writer: insert.Writer, Value: insert.Value}
		s.rows[insert.Key] = row
		return lavplatform.WriteResult{Won: true, Row: row}
	})
}

func (s *simulation) Swap(_ context.Context, swap lavplatform.Swap) (lavplatform.WriteResult, error) {
	return s.call(func() lavplatform.WriteResult {
		row := s.rows[swap.Key]
		if row.Revision != swap.Revision {
			return lavplatform.WriteResult{Won: row.Revision == swap.Revision+1 && row.Writer == swap.Writer, Row: row}
		}
		row = lavplatform.Row{Key: swap.Key, Revision: row.Revision + 1, Writer: swap.Writer, Value: swap.Value}
		s.rows[swap.Key] = row
		return lavplatform.WriteResult{Won: true, Row: row}
	})
}

func (s *simulation) Get(_ context.Context, table, key string) (lavplatform.Row, error) {
	found := false
	written, err := s.call(func() lavplatform.WriteResult {
		row, ok := s.rows[key]
		found = ok
		return lavplatform.WriteResult{Row: row}
	})
	if err == nil && !found {
		return lavplatform.Row{}, lavplatform.ErrRowNotExist{Table: table, Key: key}
	}
	return written.Row, err
}

func (s *simulation) Scan(context.Context, string, string, int) ([]lavplatform.Row, error) {
	return nil, lavplatform.ErrStoreUnavailable{Reason: "not drawn"}
}

// Query answers for the process that now runs at the holder's address, or reports that it was not reached.
func (s *simulation) Query(_ context.Context, _ Claim, entry Entry) HolderReport {
	s.interleave()
	if rapid.IntRange(0, 4).Draw(s.t, "reached") == 0 {
		return HolderReport{}
	}
	for _, holder := range s.sides {
		if holder.address == entry.Holder {
			return HolderReport{Reached: true, Process: holder.process(), Phase: holder.attempts.Phase(entry.Attempt)}
		}
	}
	return HolderReport{}
}

// step lets one drawn participant act.
func (s *simulation) step() {
	claim := rapid.SampledFrom(s.attempts).Draw(s.t, "attempt")
	owner := s.sides[int(claim.Holder[0]-'0')]
	switch rapid.IntRange(0, 9).Draw(s.t, "action") {
	case 0, 1, 2:
		s.deliver(owner, claim)
	case 3:
		s.sealAtSide(owner, claim)
	case 4:
		s.sealInLedger(claim)
	case 5:
		owner.starts++
		owner.attempts = NewAttempts()
	case 6:
		s.applyLate()
	case 7:
		s.finish(owner, claim)
	case 8:
		s.settle(claim)
	case 9:
		s.expire(owner)
	}
}

// connected reports whether the attempt's connection leads to the current process of its side; a restart closes it.
func (s *simulation) connected(owner *sideProcess, claim Claim) bool {
	if _, ok := s.connectedTo[claim.Attempt]; !ok {
		s.connectedTo[claim.Attempt] = owner.process()
	}
	return s.connectedTo[claim.Attempt] == owner.process()
}

func (s *simulation) sealAtSide(owner *sideProcess, claim Claim) {
	s.connected(owner, claim)
	phase := owner.attempts.Seal(claim.Attempt, time.Time{})
	if phase == PhaseBarred {
		s.sealInLedger(claim)
		return
	}
	if phase == PhaseAbandoned && s.connected(owner, claim) {
		s.reportNotRun(claim)
	}
}

func (s *simulation) sealInLedger(claim Claim) {
	s.acting = nil
	if stored, err := s.ledger().Seal(context.Background(), claim); err == nil && stored.NotRun {
		s.reportNotRun(claim)
	}
}

func (s *simulation) applyLate() {
	if len(s.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.late)-1).Draw(s.t, "late")
	write := s.late[i]
	write()
	if rapid.Bool().Draw(s.t, "once") {
		s.late = append(s.late[:i:i], s.late[i+1:]...)
	}
}

// expire deletes the attempts in a final phase, whose connections have closed long before.
func (s *simulation) expire(owner *sideProcess) {
	for _, claim := range s.attempts {
		phase := owner.attempts.Phase(claim.Attempt)
		if phase != PhaseClaiming && phase != PhaseDispatched {
			s.connectedTo[claim.Attempt] = "expired"
		}
	}
	owner.attempts.Expire(-1, time.Time{})
}

// settle looks up whether the call ran, as an operator does at the backend server, and settles it accordingly.
func (s *simulation) settle(claim Claim) {
	s.acting = nil
	stored, err := decode(s.rows[Key(claim.Account, claim.Request)])
	attempt, ran := s.dispatched[claim.Request]
	ran = ran && attempt == claim.Attempt
	settlement := Settlement{Account: claim.Account, Request: claim.Request, Attempt: claim.Attempt, Ran: ran, Operator: "operator"}
	settled := time.Time{}.Add(time.Hour)
	if err == nil && stored.Entry.IsSealed(claim.Attempt) {
		settled = settled.Add(SettleDelay)
	}
	if _, err := s.ledger().Settle(context.Background(), settlement, settled); err == nil && !ran {
		s.reportNotRun(claim)
	}
}

func (s *simulation) finish(owner *sideProcess, claim Claim) {
	if owner.attempts.Phase(claim.Attempt) != PhaseDispatched {
		return
	}
	s.acting = owner
	claim.Process = owner.process()
	defer s.recoverKilled()
	owner.attempts.End(claim.Attempt, time.Time{})
	_ = s.ledger().Finish(context.Background(), claim, Answer{})
}

// deliver handles an attempt in the same steps as a side process.
func (s *simulation) deliver(owner *sideProcess, claim Claim) {
	if !s.connected(owner, claim) || !owner.attempts.Open(claim.Attempt, time.Time{}) {
		return
	}
	defer s.recoverKilled()
	s.acting, s.needsConfirm = owner, false
	claim.Process = owner.process()
	decision, err := s.ledger().Acquire(context.Background(), claim, s)
	for err == nil && decision.Action == ActionDispatch && s.needsConfirm {
		s.needsConfirm = false
		decision, err = s.ledger().Confirm(context.Background(), claim)
	}
	if err == nil && decision.Action == ActionDispatch && owner.attempts.Commit(claim.Attempt, time.Time{}.Add(1), time.Time{}) {
		s.run(claim)
		return
	}
	if owner.attempts.Abandon(claim.Attempt, time.Time{}) == PhaseAbandoned {
		s.reportNotRun(claim)
	}
	if rapid.Bool().Draw(s.t, "release") {
		_ = s.ledger().Release(context.Background(), claim)
	}
}

func (s *simulation) recoverKilled() {
	if cause := recover(); cause != nil {
		if _, ok := cause.(processKilled); !ok {
			panic(cause)
		}
	}
}

func (s *simulation) run(claim Claim) {
	if before, ok := s.dispatched[claim.Request]; ok {
		s.t.Fatalf("request %s ran as attempt %s and again as %s", claim.Request, before, claim.Attempt)
	}
	if s.notRun[claim.Attempt] {
		s.t.Fatalf("attempt %s ran after it was reported as not run", claim.Attempt)
	}
	s.dispatched[claim.Request] = claim.Attempt
}

func (s *simulation) reportNotRun(claim Claim) {
	if s.dispatched[claim.Request] == claim.Attempt {
		s.t.Fatalf("attempt %s was reported as not run after it ran", claim.Attempt)
	}
	s.notRun[claim.Attempt] = true
}
