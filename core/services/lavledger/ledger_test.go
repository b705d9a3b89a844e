package lavledger

import (
	"context"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavplatform"
)

// interleavings is the number of runs of the property test when the command line does not set rapid.checks.
const interleavings = "20000"

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.checks").Value.String() == flag.Lookup("rapid.checks").DefValue {
		_ = flag.Set("rapid.checks", interleavings)
	}
	os.Exit(m.Run())
}

// TestAtMostOnceOverInterleavings guards against a request that runs twice, and against an attempt that runs although
// it was reported as not run, when writes are lost, late or repeated and side processes restart.
func TestAtMostOnceOverInterleavings(t *testing.T) {
	dispatched := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			s.step()
		}
		dispatched += len(s.dispatched)
	})
	if dispatched == 0 {
		t.Fatal("no interleaving dispatched a call")
	}
	t.Logf("dispatched %d requests", dispatched)
}

// TestDecideFromEntry guards against a dispatch or a takeover for a row that does not permit it.
func TestDecideFromEntry(t *testing.T) {
	claim := Claim{Attempt: "a", Process: "p", Fingerprint: 1}
	cases := []struct {
		name  string
		entry Entry
		want  Action
	}{
		{"own intent", Entry{State: StateIntent, Attempt: "a", Process: "p", Fingerprint: 1}, ActionDispatch},
		{"own attempt of an earlier process", Entry{State: StateIntent, Attempt: "a", Process: "q", Fingerprint: 1}, ActionQueryHolder},
		{"other intent", Entry{State: StateIntent, Attempt: "b", Process: "p", Fingerprint: 1}, ActionQueryHolder},
		{"other body", Entry{State: StateIntent, Attempt: "b", Process: "p", Fingerprint: 2}, ActionMismatch},
		{"finished", Entry{State: StateFinished, Attempt: "b", Fingerprint: 1}, ActionReplay},
		{"sealed against another", Entry{State: StateSealed, Attempt: "b", Sealed: []lavid.AttemptID{"b"}}, ActionTakeOver},
		{"sealed against this", Entry{State: StateSealed, Attempt: "b", Sealed: []lavid.AttemptID{"b", "a"}}, ActionSealed},
		{"intent of another that keeps the seal", Entry{State: StateIntent, Attempt: "b", Fingerprint: 1, Sealed: []lavid.AttemptID{"a"}}, ActionSealed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Decide(claim, c.entry), c.want)
		})
	}
}

// TestDecideFromReport guards against the takeover of a call that its holder may have dispatched.
func TestDecideFromReport(t *testing.T) {
	entry := Entry{Process: "p"}
	is := is.New(t)
	is.Equal(DecideFromReport(entry, HolderReport{}), ActionInDoubt)
	is.Equal(DecideFromReport(entry, HolderReport{Reached: true, Process: "q", Phase: PhaseAbandoned}), ActionInDoubt)
	is.Equal(DecideFromReport(entry, HolderReport{Reached: true, Process: "p", Phase: PhaseUnknown}), ActionInDoubt)
	is.Equal(DecideFromReport(entry, HolderReport{Reached: true, Process: "p", Phase: PhaseBarred}), ActionInDoubt)
	is.Equal(DecideFromReport(entry, HolderReport{Reached: true, Process: "p", Phase: PhaseDispatched}), ActionAttach)
	is.Equal(DecideFromReport(entry, HolderReport{Reached: true, Process: "p", Phase: PhaseAbandoned}), ActionTakeOver)
}

// TestCommitRefusedAtDeadlineAndAfterAbandon guards against the dispatch of an attempt that its sender already counts
// as not run.
func TestCommitRefusedAtDeadlineAndAfterAbandon(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	attempts := NewAttempts()
	is.True(attempts.Open("late", now))
	is.True(!attempts.Commit("late", now, now))
	is.Equal(attempts.Phase("late"), PhaseAbandoned)
	is.True(!attempts.Commit("late", now.Add(time.Second), now)) // an abandoned attempt is never dispatched
	is.True(attempts.Open("sealed", now))
	is.Equal(attempts.Abandon("sealed", now), PhaseAbandoned)
	is.True(!attempts.Commit("sealed", now.Add(time.Second), now))
}

// TestKeyRoundTrip guards against ids with separators or escapes that give an ambiguous row key.
func TestKeyRoundTrip(t *testing.T) {
	is := is.New(t)
	key := Key("a/b:c", "r%2F/ö")
	account, request, err := ParseKey(key)
	is.NoErr(err)
	is.Equal(string(account), "a/b:c")
	is.Equal(string(request), "r%2F/ö")
}

// table is a table service in memory that loses no call.
type table map[string]lavplatform.Row

func (m table) Insert(_ context.Context, insert lavplatform.Insert) (lavplatform.WriteResult, error) {
	if _, ok := m[insert.Key]; !ok {
		m[insert.Key] = lavplatform.Row{Key: insert.Key, Revision: 1, Writer: insert.Writer, Value: insert.Value}
	}
	return lavplatform.WriteResult{Row: m[insert.Key]}, nil
}

func (m table) Swap(_ context.Context, swap lavplatform.Swap) (lavplatform.WriteResult, error) {
	if m[swap.Key].Revision == swap.Revision {
		m[swap.Key] = lavplatform.Row{Key: swap.Key, Revision: swap.Revision + 1, Writer: swap.Writer, Value: swap.Value}
	}
	return lavplatform.WriteResult{Row: m[swap.Key]}, nil
}

func (m table) Get(_ context.Context, _, key string) (lavplatform.Row, error) { return m[key], nil }

func (m table) Scan(context.Context, string, string, int) ([]lavplatform.Row, error) {
	rows := make([]lavplatform.Row, 0, len(m))
	for _, row := range m {
		rows = append(rows, row)
	}
	return rows, nil
}

type unreachableHolders struct{}

func (unreachableHolders) Query(context.Context, Claim, Entry) HolderReport { return HolderReport{} }

// TestSettleAsNotRunFencesHolderFirst guards against a holder that was paused and dispatches a call after an operator
// settled it as not run.
func TestSettleAsNotRunFencesHolderFirst(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	now := time.Unix(1000, 0)
	ledger := New(table{})
	claim := Claim{Account: "a", Request: "r", Attempt: "1", Process: "p"}
	decision, err := ledger.Acquire(ctx, claim, unreachableHolders{})
	is.NoErr(err)
	is.Equal(decision.Action, ActionDispatch)
	settlement := Settlement{Account: "a", Request: "r", Attempt: "1", Operator: "o"}
	_, err = ledger.Settle(ctx, settlement, now)
	is.True(laverror.Is(err, laverror.KindInDoubt))
	decision, err = ledger.Confirm(ctx, claim)
	is.NoErr(err)
	is.Equal(decision.Action, ActionSealed) // a holder that was paused must not dispatch
	_, err = ledger.Settle(ctx, settlement, now.Add(SettleDelay/2))
	is.True(laverror.Is(err, laverror.KindInDoubt))
	page, err := ledger.ListInDoubt(ctx, "", 10)
	is.NoErr(err)
	is.Equal(len(page.Pending), 1)
	stored, err := ledger.Settle(ctx, settlement, now.Add(SettleDelay))
	is.NoErr(err)
	is.Equal(stored.Entry.State, StateSealed)
	_, err = ledger.Settle(ctx, settlement, now.Add(SettleDelay))
	is.True(laverror.Is(err, laverror.KindConflict))
	other := Claim{Account: "a", Request: "r", Attempt: "2", Process: "q"}
	decision, err = ledger.Acquire(ctx, other, unreachableHolders{})
	is.NoErr(err)
	is.Equal(decision.Action, ActionDispatch)
}
