package lavgate

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavfleet"
)

// fakeCapacity is a pool whose capacity the test sets.
type fakeCapacity struct{ pool lavfleet.Pool }

func (f *fakeCapacity) Pool(*lavconfig.Document, lavfleet.Requirements, time.Time) lavfleet.Pool {
	return f.pool
}

func (f *fakeCapacity) Document() *lavconfig.Document {
	return &lavconfig.Document{ClientAccounts: map[lavid.AccountID]lavconfig.ClientAccount{"a": {MaxConcurrent: 1}}}
}

func request(deadline time.Duration) *lavrequest.Request {
	return &lavrequest.Request{Account: "a", EstimatedTokens: 10, Deadline: time.Now().Add(deadline)}
}

// TestEnterRefusesAtOnceWithoutServerInService guards against a request that waits for a pool without a server in service,
// and against a refusal without a time to retry.
func TestEnterRefusesAtOnceWithoutServerInService(t *testing.T) {
	is := is.New(t)
	capacity := &fakeCapacity{}
	_, err := New(capacity, capacity).Enter(t.Context(), request(time.Minute), lavrequest.PoolKey{}, false)
	is.True(laverror.Is(err, laverror.KindNoServer))
	is.True(laverror.As(err).RetryAfter > 0)
}

// TestEnterWaitsUntilThePoolHasCapacity guards against a request that is admitted without capacity, or not admitted once
// there is some.
func TestEnterWaitsUntilThePoolHasCapacity(t *testing.T) {
	is := is.New(t)
	capacity := &fakeCapacity{pool: lavfleet.Pool{Servers: 1}}
	gate := New(capacity, capacity)
	waiting, err := gate.enqueue(request(time.Minute), lavrequest.PoolKey{}, false, time.Now())
	is.NoErr(err)
	gate.AdmitQueued(time.Now())
	select {
	case <-waiting.ready:
		t.Fatal("admitted without capacity")
	default:
	}
	capacity.pool.FreeSlots = 1
	gate.AdmitQueued(time.Now())
	<-waiting.ready
	is.NoErr(waiting.err)
}

// TestEnterQueuesAfterFullServersEvenIfReportsShowCapacity guards against a request that is sent to full servers again and
// again because the load reports are older than the refusals.
func TestEnterQueuesAfterFullServersEvenIfReportsShowCapacity(t *testing.T) {
	is := is.New(t)
	capacity := &fakeCapacity{pool: lavfleet.Pool{Servers: 1, FreeSlots: 5}}
	gate := New(capacity, capacity)
	waiting, err := gate.enqueue(request(time.Minute), lavrequest.PoolKey{}, true, time.Now())
	is.NoErr(err)
	is.True(waiting != nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = gate.Enter(ctx, request(time.Minute), lavrequest.PoolKey{}, true)
	is.True(laverror.Is(err, laverror.KindTimeout))
}

// TestQueuedRequestIsRefusedWhenItsDeadlinePasses guards against a request that stays in the queue beyond its deadline.
func TestQueuedRequestIsRefusedWhenItsDeadlinePasses(t *testing.T) {
	is := is.New(t)
	capacity := &fakeCapacity{pool: lavfleet.Pool{Servers: 1}}
	gate := New(capacity, capacity)
	waiting, err := gate.enqueue(request(time.Second), lavrequest.PoolKey{}, false, time.Now())
	is.NoErr(err)
	gate.AdmitQueued(time.Now().Add(2 * time.Second))
	<-waiting.ready
	is.True(laverror.Is(waiting.err, laverror.KindOverloaded))
}

// TestBeginLimitsConcurrentRequestsOfClientAccount guards against a client account with more requests in progress than its
// limit, and against an ended request that still counts.
func TestBeginLimitsConcurrentRequestsOfClientAccount(t *testing.T) {
	is := is.New(t)
	capacity := &fakeCapacity{}
	gate := New(capacity, capacity)
	end, err := gate.Begin(request(time.Minute))
	is.NoErr(err)
	_, err = gate.Begin(request(time.Minute))
	is.True(laverror.Is(err, laverror.KindTooManyRequests))
	end()
	_, err = gate.Begin(request(time.Minute))
	is.NoErr(err)
}

// TestReservedCapacityGoesToAccountsWithinTheirShare guards against reserved capacity that stays unused while an account
// within its share waits.
func TestReservedCapacityGoesToAccountsWithinTheirShare(t *testing.T) {
	is := is.New(t)
	capacity := &fakeCapacity{pool: lavfleet.Pool{Servers: 1, FreeSlotsWithReserve: 1}}
	gate := New(capacity, capacity)
	waiting, err := gate.enqueue(request(time.Minute), lavrequest.PoolKey{}, false, time.Now())
	is.NoErr(err)
	is.True(waiting.ticket.Reserved())
	gate.AdmitQueued(time.Now())
	<-waiting.ready
	is.NoErr(waiting.err)
}

// TestQueueTimeIsBounded guards against a request that waits in a queue for longer than MaxWait or beyond its deadline,
// and against a stated timeout that MaxWait cuts.
func TestQueueTimeIsBounded(t *testing.T) {
	is := is.New(t)
	gate := New(nil, nil)
	gate.MaxWait = time.Second
	now := time.Now()
	is.Equal(gate.queueDeadline(&lavrequest.Request{Arrived: now, Deadline: now.Add(time.Minute)}), now.Add(time.Second))
	is.Equal(gate.queueDeadline(&lavrequest.Request{Arrived: now, Deadline: now.Add(time.Millisecond)}), now.Add(time.Millisecond))
	timed := &lavrequest.Request{Arrived: now, Deadline: now.Add(time.Minute), TimeoutStated: true}
	is.Equal(gate.queueDeadline(timed), now.Add(time.Minute))
}
