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

// Hedgers holds one hedger per idempotent call of a plain service.
type Hedgers struct {
	rows *lavtable.Table[string, *lavhedge.Hedger]
}

// NewHedgers returns an empty set of hedgers.
func NewHedgers() *Hedgers {
	return &Hedgers{rows: lavtable.New[string, *lavhedge.Hedger]()}
}

func (h *Hedgers) hedger(service lavid.ServiceID, call lavid.CallID) *lavhedge.Hedger {
	return h.rows.Update(string(service)+"/"+string(call), func(row *lavhedge.Hedger, exists bool) *lavhedge.Hedger {
		if exists {
			return row
		}
		return lavhedge.New()
	})
}

func (a *stageAttempts) canHedge() bool {
	return a.request.Service != "" && a.request.Idempotent
}

// attemptHedged makes an attempt and, if it is slow, a second one at another server. The first complete answer is taken.
func (a *stageAttempts) attemptHedged(ctx context.Context, server lavid.BackendServerID, now time.Time) outcome {
	hedger := a.Hedgers.hedger(a.request.Service, a.request.Call)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome, 2)
	var attempts conc.WaitGroup
	defer attempts.Wait()
	run := func(server lavid.BackendServerID) {
		began := time.Now()
		out := a.attempt(ctx, server, began)
		if out.succeeded() {
			hedger.Observe(time.Since(began))
		}
		outcomes <- out
	}
	attempts.Go(func() { run(server) })
	first, done := a.awaitFirst(hedger, outcomes, now)
	if done {
		return first
	}
	hedgeRequirements := a.requirements
	hedgeRequirements.Excluded = append([]lavid.BackendServerID{server}, a.requirements.Excluded...)
	second, ok := a.Fleet.Choose(a.document, hedgeRequirements, time.Now())
	if !ok || !hedger.Spend() {
		return <-outcomes
	}
	a.Metrics.Count(metricHedges, 1)
	attempts.Go(func() { run(second) })
	out := <-outcomes
	if !out.succeeded() {
		out = <-outcomes
	}
	cancel()
	return out
}

// awaitFirst waits for the first attempt until a hedge is due. It returns false if a hedge should be sent.
func (a *stageAttempts) awaitFirst(hedger *lavhedge.Hedger, outcomes <-chan outcome, now time.Time) (outcome, bool) {
	pool := a.Fleet.Pool(a.document, lavfleet.Requirements{Service: a.request.Service}, now)
	load := 1 - float64(pool.FreeSlots)/float64(max(pool.Limit, 1))
	delay, shouldHedge := hedger.Delay(lavhedge.Conditions{Idempotent: true, Load: load, Candidates: pool.Servers - 1})
	if !shouldHedge {
		return <-outcomes, true
	}
	select {
	case out := <-outcomes:
		return out, true
	case <-time.After(delay):
		return outcome{}, false
	}
}
