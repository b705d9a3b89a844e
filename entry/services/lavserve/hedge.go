package lavserve

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavtable"
	"lavenderswitch/core/services/lavhedge"
	"lavenderswitch/entry/services/lavfleet"
)

// Hedgers holds one hedger for each idempotent call of a plain service.
type Hedgers struct {
	rows *lavtable.Table[string, *lavhedge.Hedger]
}

// NewHedgers returns hedgers that know no latency yet.
func NewHedgers() *Hedgers {
	return &Hedgers{rows: lavtable.New[string, *lavhedge.Hedger]()}
}

func (h *Hedgers) of(service lavid.ServiceID, call lavid.CallID) *lavhedge.Hedger {
	return h.rows.Update(string(service)+"/"+string(call), func(row *lavhedge.Hedger, exists bool) *lavhedge.Hedger {
		if exists {
			return row
		}
		return lavhedge.New()
	})
}

func (t *tries) mayHedge() bool {
	return t.request.Service != "" && t.request.Idempotent
}

// hedged sends a second attempt to another server when the first is slow; the first whole answer is taken.
func (t *tries) hedged(ctx context.Context, server lavid.BackendServerID, now time.Time) outcome {
	hedger := t.Hedgers.of(t.request.Service, t.request.Call)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, 2)
	var attempts conc.WaitGroup
	defer attempts.Wait()
	run := func(server lavid.BackendServerID) {
		began := time.Now()
		out := t.attempt(ctx, server, began)
		if out.whole() {
			hedger.Observe(time.Since(began))
		}
		outcomes <- out
	}
	attempts.Go(func() { run(server) })
	first, done := t.awaitFirst(hedger, outcomes, now)
	if done {
		return first
	}
	other := t.need
	other.Excluded = append([]lavid.BackendServerID{server}, t.need.Excluded...)
	second, ok := t.Fleet.Choose(t.document, other, time.Now())
	if !ok || !hedger.Sent() {
		return <-outcomes
	}
	t.Metrics.Count(metricHedges, 1)
	attempts.Go(func() { run(second) })
	out := <-outcomes
	if !out.whole() {
		out = <-outcomes
	}
	cancel()
	return out
}

// awaitFirst waits for the first attempt until a hedge would pay.
func (t *tries) awaitFirst(hedger *lavhedge.Hedger, outcomes <-chan outcome, now time.Time) (outcome, bool) {
	pool := t.Fleet.Pool(t.document, lavfleet.Requirements{Service: t.request.Service}, now)
	load := 1 - float64(pool.FreeSlots)/float64(max(pool.Limit, 1))
	after, pays := hedger.After(lavhedge.Work{Idempotent: true, Load: load, Candidates: pool.Servers - 1})
	if !pays {
		return <-outcomes, true
	}
	select {
	case out := <-outcomes:
		return out, true
	case <-time.After(after):
		return outcome{}, false
	}
}
