package lavgate

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/services/lavqueue"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavfleet"
)

const (
	// retryAfterBusy is the Retry-After when no better time is known.
	retryAfterBusy = time.Second
	// admitInterval is the time between two rounds of admissions while requests are queued.
	admitInterval = 10 * time.Millisecond
	// maxWaiting and maxWaitingTokens are the limits of one pool's queue, in requests and tokens.
	maxWaiting       = 2_000
	maxWaitingTokens = 4_000_000
	// minTokens is the least number of tokens that a request counts as in a queue.
	minTokens = 1
)

// Configs returns the newest configuration that this host has received, or nil before the first one.
type Configs interface {
	Document() *lavconfig.Document
}

// PoolReader returns the capacity that the servers of a pool have.
type PoolReader interface {
	Pool(document *lavconfig.Document, requirements lavfleet.Requirements, now time.Time) lavfleet.Pool
}

// Gate admits requests to pools; it is safe for concurrent use.
type Gate struct {
	lavlife.DoneSignal
	configs  Configs
	capacity PoolReader
	// MaxWait limits how long after its arrival a request waits for capacity. A request whose caller stated a timeout may
	// wait until its deadline, as may every request if MaxWait is zero.
	MaxWait time.Duration

	mu         sync.Mutex
	inProgress map[lavid.AccountID]int
	pools      map[lavrequest.PoolKey]*pool
	// wake signals Run that a request was queued.
	wake chan struct{}
}

// pool is the state of one pool: its queue and its recent admissions.
type pool struct {
	queue *lavqueue.Queue
	// admitted counts the requests admitted since admittedSince, whose attempts the fleet may not count yet.
	admitted      int
	admittedSince time.Time
	lastUsed      time.Time
}

// resetAdmitted resets the count of admitted requests after admitInterval, when the fleet counts their attempts.
func (p *pool) resetAdmitted(now time.Time) {
	if now.Sub(p.admittedSince) >= admitInterval {
		p.admitted = 0
		p.admittedSince = now
	}
}

// New returns a gate that reads the configuration and the capacity of the pools.
func New(configs Configs, capacity PoolReader) *Gate {
	return &Gate{
		configs:    configs,
		capacity:   capacity,
		inProgress: make(map[lavid.AccountID]int),
		pools:      make(map[lavrequest.PoolKey]*pool),
		wake:       make(chan struct{}, 1),
	}
}

// Begin counts a request of the client account as in progress and returns the function that ends it. It returns an error
// if the account has too many requests in progress.
func (g *Gate) Begin(request *lavrequest.Request) (func(), error) {
	limit := g.configs.Document().ClientAccounts[request.Account].MaxConcurrent
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit > 0 && g.inProgress[request.Account] >= limit {
		refusal := laverror.New(laverror.KindTooManyRequests, "the client account has too many requests in progress", "wait for answers before sending more")
		return nil, refusal.WithRetryAfter(retryAfterBusy)
	}
	g.inProgress[request.Account]++
	return func() { g.end(request.Account) }, nil
}

func (g *Gate) end(account lavid.AccountID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inProgress[account]--
	if g.inProgress[account] == 0 {
		delete(g.inProgress, account)
	}
}

// Enter returns when the pool has capacity for the request, and reports whether that capacity is reserved. It returns an
// error if the queue refuses the request or the request times out while it waits.
//
// Set full when backend servers have just refused the request as full: it then waits even if the reported loads show free
// capacity.
func (g *Gate) Enter(ctx context.Context, request *lavrequest.Request, key lavrequest.PoolKey, full bool) (bool, error) {
	waiting, err := g.enqueue(request, key, full, time.Now())
	if err != nil || waiting == nil {
		return false, err
	}
	select {
	case <-waiting.ready:
		return waiting.ticket.Reserved(), waiting.err
	case <-ctx.Done():
		g.remove(key, waiting)
		return false, laverror.New(laverror.KindTimeout, "the request timed out before a server had capacity", "retry with a longer timeout").WithRetryAfter(retryAfterBusy)
	}
}

// waiter is a request in a queue; ready is closed when it is admitted or refused.
type waiter struct {
	ticket *lavqueue.Ticket
	ready  chan struct{}
	err    error
}

// enqueue returns nil if the request is admitted at once, and otherwise the waiter that it added to the queue.
func (g *Gate) enqueue(request *lavrequest.Request, key lavrequest.PoolKey, full bool, now time.Time) (*waiter, error) {
	document := g.configs.Document()
	poolState := g.capacity.Pool(document, requirementsOf(key), now)
	if poolState.Servers == 0 {
		return nil, laverror.New(laverror.KindNoServer, "no backend server in service holds the version or service", "retry after the stated time").WithRetryAfter(retryAfterBusy)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	pool := g.pool(key, now)
	if !full && pool.queue.Len() == 0 && poolState.FreeSlots > pool.admitted {
		pool.admitted++
		pool.queue.RecordDrained(queueTokens(request), now)
		return nil, nil
	}
	waiting := &waiter{ready: make(chan struct{})}
	ticket, refusal := pool.queue.Push(lavqueue.Item{
		Account:  request.Account,
		Weight:   document.ClientAccounts[request.Account].Weight,
		Tokens:   queueTokens(request),
		Deadline: g.queueDeadline(request),
		Value:    waiting,
	}, now)
	if refusal != nil {
		return nil, laverror.New(laverror.KindOverloaded, refusal.Error(), "retry after the stated time").WithRetryAfter(refusal.RetryAfter)
	}
	waiting.ticket = ticket
	select {
	case g.wake <- struct{}{}:
	default:
	}
	return waiting, nil
}

// queueDeadline returns when the request stops waiting for capacity.
func (g *Gate) queueDeadline(request *lavrequest.Request) time.Time {
	latest := request.Arrived.Add(g.MaxWait)
	if g.MaxWait <= 0 || request.TimeoutStated || request.Deadline.Before(latest) {
		return request.Deadline
	}
	return latest
}

// pool returns the state of the pool, which it creates if necessary; the caller holds mu.
func (g *Gate) pool(key lavrequest.PoolKey, now time.Time) *pool {
	row, ok := g.pools[key]
	if !ok {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		row = &pool{queue: lavqueue.New(lavqueue.Settings{MaxRequests: maxWaiting, MaxTokens: maxWaitingTokens}, random, now)}
		g.pools[key] = row
	}
	row.lastUsed = now
	row.resetAdmitted(now)
	return row
}

func (g *Gate) remove(key lavrequest.PoolKey, waiting *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if pool, ok := g.pools[key]; ok {
		pool.queue.Remove(waiting.ticket)
	}
}

// Run admits queued requests as capacity becomes available, until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	defer g.Finish()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		for g.AdmitQueued(time.Now()) > 0 {
			if !lavlife.Pause(ctx, admitInterval) {
				return
			}
		}
	}
}

// emptyPoolTTL is how long the state of a pool with an empty queue is kept after its last use.
const emptyPoolTTL = 10 * time.Minute

// AdmitQueued admits queued requests while their pools have capacity, refuses those whose deadline has passed, and returns
// how many still wait.
func (g *Gate) AdmitQueued(now time.Time) int {
	document := g.configs.Document()
	g.mu.Lock()
	defer g.mu.Unlock()
	remaining := 0
	for key, row := range g.pools {
		row.resetAdmitted(now)
		if row.queue.Len() > 0 {
			g.admitFromPool(document, key, row, now)
		} else if now.Sub(row.lastUsed) > emptyPoolTTL {
			delete(g.pools, key)
		}
		remaining += row.queue.Len()
	}
	return remaining
}

// admitFromPool admits queued requests of one pool; the caller holds mu.
func (g *Gate) admitFromPool(document *lavconfig.Document, key lavrequest.PoolKey, row *pool, now time.Time) {
	for _, ticket := range row.queue.Expire(now) {
		expired := laverror.New(laverror.KindOverloaded, "the request timed out before a server had capacity", "retry after the stated time")
		waiterOf(ticket).release(expired.WithRetryAfter(retryAfterBusy))
	}
	poolState := g.capacity.Pool(document, requirementsOf(key), now)
	for {
		ticket, ok := row.queue.Pop(remainingCapacity(poolState, row.admitted), now)
		if !ok {
			return
		}
		row.admitted++
		row.queue.RecordDrained(ticket.Tokens, now)
		waiterOf(ticket).release(nil)
	}
}

// remainingCapacity returns the kind of capacity that a pool has left after the given number of admissions.
func remainingCapacity(poolState lavfleet.Pool, admitted int) lavqueue.Capacity {
	switch {
	case admitted < poolState.FreeSlots:
		return lavqueue.FreeCapacity
	case admitted < poolState.FreeSlotsWithReserve:
		return lavqueue.ReservedCapacity
	default:
		return lavqueue.NoCapacity
	}
}

func waiterOf(ticket *lavqueue.Ticket) *waiter {
	waiting, ok := ticket.Value.(*waiter)
	if !ok {
		panic("queued value is not a waiting request")
	}
	return waiting
}

func (w *waiter) release(err error) {
	w.err = err
	close(w.ready)
}

func requirementsOf(key lavrequest.PoolKey) lavfleet.Requirements {
	return lavfleet.Requirements{Version: key.Version, Service: key.Service}
}

func queueTokens(request *lavrequest.Request) lavid.Tokens {
	return max(request.EstimatedTokens, minTokens)
}

// Queue is the queue of a pool in the state dump; Waiting is the number of its requests.
type Queue struct {
	lavrequest.PoolKey
	Waiting int
}

// Dump returns the queues of all pools.
func (g *Gate) Dump() []Queue {
	g.mu.Lock()
	defer g.mu.Unlock()
	queues := make([]Queue, 0, len(g.pools))
	for key, row := range g.pools {
		queues = append(queues, Queue{PoolKey: key, Waiting: row.queue.Len()})
	}
	return queues
}
