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
	retryAfterBusy = time.Second
	pumpInterval   = 10 * time.Millisecond
	// maxWaiting and maxWaitingTokens bound the queue of one pool.
	maxWaiting       = 2_000
	maxWaitingTokens = 4_000_000
	minTokens        = 1
)

// Configs gives the configuration in force here.
type Configs interface {
	Document() *lavconfig.Document
}

// Rooms tells how much room the servers of a pool have.
type Rooms interface {
	Pool(document *lavconfig.Document, need lavfleet.Requirements, now time.Time) lavfleet.Pool
}

// Gate admits requests.
type Gate struct {
	lavlife.Part
	configs Configs
	rooms   Rooms
	// MaxWait bounds the time from a request's arrival that it waits for room; zero leaves it to the request's deadline.
	MaxWait time.Duration

	mu       sync.Mutex
	progress map[lavid.AccountID]int
	pools    map[lavrequest.Pool]*pool
	// wake tells Run that a request waits.
	wake chan struct{}
}

// pool is the queue of one pool of backend servers.
type pool struct {
	queue *lavqueue.Queue
	// passed counts requests admitted since a moment ago, whose attempts the fleet may not count yet.
	passed int
	since  time.Time
	used   time.Time
}

// forgetPassed starts the count of admitted requests anew once the fleet counts their attempts.
func (p *pool) forgetPassed(now time.Time) {
	if now.Sub(p.since) >= pumpInterval {
		p.passed = 0
		p.since = now
	}
}

// New returns a gate over the configuration and the fleet.
func New(configs Configs, rooms Rooms) *Gate {
	return &Gate{
		configs:  configs,
		rooms:    rooms,
		progress: make(map[lavid.AccountID]int),
		pools:    make(map[lavrequest.Pool]*pool),
		wake:     make(chan struct{}, 1),
	}
}

// Begin counts a request of an account, or refuses it when the account has too many in progress.
func (g *Gate) Begin(request *lavrequest.Request) (func(), error) {
	limit := g.configs.Document().ClientAccounts[request.Account].MaxConcurrent
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit > 0 && g.progress[request.Account] >= limit {
		refusal := laverror.New(laverror.KindTooManyRequests, "the client account has too many requests in progress", "wait for answers before sending more")
		return nil, refusal.WithRetryAfter(retryAfterBusy)
	}
	g.progress[request.Account]++
	return func() { g.end(request.Account) }, nil
}

func (g *Gate) end(account lavid.AccountID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.progress[account]--
	if g.progress[account] == 0 {
		delete(g.progress, account)
	}
}

// Enter returns when the pool has room for the request, or refuses it at once; true says that the room is reserved.
//
// A request that backend servers have just refused as full enters again with
// full set, and waits even if the reported loads leave room.
func (g *Gate) Enter(ctx context.Context, request *lavrequest.Request, key lavrequest.Pool, full bool) (bool, error) {
	ready, err := g.push(request, key, full, time.Now())
	if err != nil || ready == nil {
		return false, err
	}
	select {
	case <-ready.turn:
		return ready.ticket.Reserved(), ready.err
	case <-ctx.Done():
		g.remove(key, ready)
		return false, laverror.New(laverror.KindTimeout, "the request's time is over before a server had room", "retry with more time").WithRetryAfter(retryAfterBusy)
	}
}

// waiting is a request in a queue.
type waiting struct {
	ticket *lavqueue.Ticket
	turn   chan struct{}
	err    error
}

// push returns nil when the request may go on, or its place in the queue.
func (g *Gate) push(request *lavrequest.Request, key lavrequest.Pool, full bool, now time.Time) (*waiting, error) {
	document := g.configs.Document()
	room := g.rooms.Pool(document, needOf(key), now)
	if room.Servers == 0 {
		return nil, laverror.New(laverror.KindNoServer, "no backend server in service holds the version or service", "retry after the stated time").WithRetryAfter(retryAfterBusy)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	pool := g.pool(key, now)
	if !full && pool.queue.Len() == 0 && room.FreeSlots > pool.passed {
		pool.passed++
		pool.queue.Drain(tokens(request), now)
		return nil, nil
	}
	place := &waiting{turn: make(chan struct{})}
	ticket, refusal := pool.queue.Push(lavqueue.Item{
		Account:  request.Account,
		Weight:   document.ClientAccounts[request.Account].Weight,
		Tokens:   tokens(request),
		Deadline: g.deadline(request),
		Value:    place,
	}, now)
	if refusal != nil {
		return nil, laverror.New(laverror.KindOverloaded, refusal.Error(), "retry after the stated time").WithRetryAfter(refusal.RetryAfter)
	}
	place.ticket = ticket
	select {
	case g.wake <- struct{}{}:
	default:
	}
	return place, nil
}

// deadline is when a request stops waiting for room.
func (g *Gate) deadline(request *lavrequest.Request) time.Time {
	latest := request.Arrived.Add(g.MaxWait)
	if g.MaxWait <= 0 || request.Patient || request.Deadline.Before(latest) {
		return request.Deadline
	}
	return latest
}

func (g *Gate) pool(key lavrequest.Pool, now time.Time) *pool {
	row, ok := g.pools[key]
	if !ok {
		random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		row = &pool{queue: lavqueue.New(lavqueue.Settings{MaxRequests: maxWaiting, MaxTokens: maxWaitingTokens}, random, now)}
		g.pools[key] = row
	}
	row.used = now
	row.forgetPassed(now)
	return row
}

func (g *Gate) remove(key lavrequest.Pool, place *waiting) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if pool, ok := g.pools[key]; ok {
		pool.queue.Remove(place.ticket)
	}
}

// Run lets queued requests go on as room appears, until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	defer g.Finish()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.wake:
		}
		for g.Pump(time.Now()) > 0 {
			if !lavlife.Pause(ctx, pumpInterval) {
				return
			}
		}
	}
}

// forgetAfter without use drops an empty queue.
const forgetAfter = 10 * time.Minute

// Pump admits queued requests while their pools have room, refuses those whose time is over, and returns how many still wait.
func (g *Gate) Pump(now time.Time) int {
	document := g.configs.Document()
	g.mu.Lock()
	defer g.mu.Unlock()
	waiting := 0
	for key, row := range g.pools {
		row.forgetPassed(now)
		if row.queue.Len() > 0 {
			g.pumpPool(document, key, row, now)
		} else if now.Sub(row.used) > forgetAfter {
			delete(g.pools, key)
		}
		waiting += row.queue.Len()
	}
	return waiting
}

func (g *Gate) pumpPool(document *lavconfig.Document, key lavrequest.Pool, row *pool, now time.Time) {
	for _, ticket := range row.queue.Expire(now) {
		expired := laverror.New(laverror.KindOverloaded, "the request's time is over before a server had room", "retry after the stated time")
		turnOf(ticket).end(expired.WithRetryAfter(retryAfterBusy))
	}
	room := g.rooms.Pool(document, needOf(key), now)
	for {
		ticket, ok := row.queue.Pop(roomLeft(room, row.passed), now)
		if !ok {
			return
		}
		row.passed++
		row.queue.Drain(ticket.Tokens, now)
		turnOf(ticket).end(nil)
	}
}

// roomLeft says what room a pool has after some requests have passed.
func roomLeft(room lavfleet.Pool, passed int) lavqueue.Room {
	switch {
	case passed < room.FreeSlots:
		return lavqueue.AnyRoom
	case passed < room.FreeSlotsWithReserve:
		return lavqueue.ReservedRoom
	default:
		return lavqueue.NoRoom
	}
}

func turnOf(ticket *lavqueue.Ticket) *waiting {
	place, ok := ticket.Value.(*waiting)
	if !ok {
		panic("queued value is not a waiting request")
	}
	return place
}

func (w *waiting) end(err error) {
	w.err = err
	close(w.turn)
}

func needOf(key lavrequest.Pool) lavfleet.Requirements {
	return lavfleet.Requirements{Version: key.Version, Service: key.Service}
}

func tokens(request *lavrequest.Request) lavid.Tokens {
	return max(request.EstimatedTokens, minTokens)
}

// Queue is a pool's queue as the state dump shows it.
type Queue struct {
	lavrequest.Pool
	Waiting int
}

// Dump returns the queues of all pools.
func (g *Gate) Dump() []Queue {
	g.mu.Lock()
	defer g.mu.Unlock()
	queues := make([]Queue, 0, len(g.pools))
	for key, row := range g.pools {
		queues = append(queues, Queue{Pool: key, Waiting: row.queue.Len()})
	}
	return queues
}
