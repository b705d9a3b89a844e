package lavqueue

import (
	"math/rand/v2"
	"time"

	"lavenderswitch/core/models/lavid"
)

// Settings holds the bounds of a queue.
type Settings struct {
	// MaxRequests bounds the number of waiting requests.
	MaxRequests int
	// MaxTokens bounds the estimated tokens of the waiting requests.
	MaxTokens lavid.Tokens
}

// Item is a request to be queued for a backend server.
type Item struct {
	Account lavid.AccountID
	// Weight is the account's weight relative to other accounts; zero counts as one.
	Weight float64
	// Tokens is the estimated size of the request.
	Tokens   lavid.Tokens
	Deadline time.Time
	// Value is the owner's record of the request; the queue does not use it.
	Value any
}

// Ticket is a queued item.
type Ticket struct {
	Item
	pushed time.Time
	// virtualFinish orders the tickets, sequence breaks ties, and index is the ticket's position in its heap.
	virtualFinish float64
	sequence      uint64
	index         int
	// reserved reports whether the account was within its share when the ticket was pushed.
	reserved bool
}

// Reserved reports whether the ticket may use the capacity that is reserved for accounts within their share.
func (t *Ticket) Reserved() bool {
	return t.reserved
}

// Waited returns how long the ticket has been queued.
func (t *Ticket) Waited(now time.Time) time.Duration {
	return now.Sub(t.pushed)
}

// Queue holds the waiting requests of one pool of backend servers. It is not safe for concurrent use.
type Queue struct {
	settings Settings
	accounts map[lavid.AccountID]*flow
	// unreserved and reserved hold the tickets, by whether their account was within its share.
	unreserved   ticketHeap
	reserved     ticketHeap
	virtualTime  float64
	nextSequence uint64
	tokens       lavid.Tokens
	drain        drainRate
	// expired holds the tickets that Pop found past their deadline, until Expire returns them.
	expired []*Ticket
	random  *rand.Rand
}

// New returns an empty queue.
func New(settings Settings, random *rand.Rand, now time.Time) *Queue {
	return &Queue{
		settings: settings,
		accounts: make(map[lavid.AccountID]*flow),
		drain:    drainRate{started: now, idle: true},
		random:   random,
	}
}

// Push queues an item, or returns the reason why it is refused.
func (q *Queue) Push(item Item, now time.Time) (*Ticket, *Refusal) {
	if refusal := q.checkAdmission(item, now); refusal != nil {
		return nil, refusal
	}
	ticket := &Ticket{Item: item, pushed: now, sequence: q.nextSequence}
	q.nextSequence++
	q.flow(item.Account).push(ticket, q.virtualTime)
	q.heapOf(ticket).push(ticket)
	q.tokens += item.Tokens
	return ticket, nil
}

// Capacity states which requests the backend servers can accept now.
type Capacity int

// The capacities of a pool, from lowest to highest.
const (
	// NoCapacity accepts no request.
	NoCapacity Capacity = iota
	// ReservedCapacity accepts only requests of accounts within their share.
	ReservedCapacity
	// FreeCapacity accepts any request.
	FreeCapacity
)

// Pop removes and returns the next request that the capacity accepts and whose deadline has not passed. It returns false
// when there is none.
func (q *Queue) Pop(capacity Capacity, now time.Time) (*Ticket, bool) {
	for {
		heap := q.nextHeap(capacity)
		if heap == nil {
			return nil, false
		}
		ticket := heap.pop()
		q.virtualTime = max(q.virtualTime, ticket.virtualStart())
		q.subtractTicket(ticket)
		if now.Before(ticket.Deadline) {
			return ticket, true
		}
		q.expired = append(q.expired, ticket)
	}
}

// nextHeap returns the heap whose first ticket is served next, or nil when the capacity accepts no waiting ticket.
func (q *Queue) nextHeap(capacity Capacity) *ticketHeap {
	switch {
	case capacity == NoCapacity:
		return nil
	case q.reserved.Len() == 0 && capacity == FreeCapacity && q.unreserved.Len() > 0:
		return &q.unreserved
	case q.reserved.Len() == 0:
		return nil
	case capacity == FreeCapacity && q.unreserved.Len() > 0 && q.unreserved.tickets[0].virtualFinish < q.reserved.tickets[0].virtualFinish:
		return &q.unreserved
	default:
		return &q.reserved
	}
}

func (q *Queue) heapOf(ticket *Ticket) *ticketHeap {
	if ticket.reserved {
		return &q.reserved
	}
	return &q.unreserved
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Ticket {
	expired := q.expired
	q.expired = nil
	for _, ticket := range append(q.unreserved.overdue(now), q.reserved.overdue(now)...) {
		q.Remove(ticket)
		expired = append(expired, ticket)
	}
	return expired
}

// Requeue puts a popped ticket back with its old virtual finish time, for example when the chosen server had no capacity.
func (q *Queue) Requeue(ticket *Ticket) {
	flow := q.flow(ticket.Account)
	flow.waiting++
	flow.tokens += ticket.Tokens
	flow.weight = ticket.weight()
	flow.lastFinish = max(flow.lastFinish, ticket.virtualFinish)
	q.tokens += ticket.Tokens
	q.heapOf(ticket).push(ticket)
}

// Remove takes a waiting ticket out of the queue, for example when its caller has disconnected.
func (q *Queue) Remove(ticket *Ticket) {
	if q.heapOf(ticket).remove(ticket) {
		q.subtractTicket(ticket)
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return q.unreserved.Len() + q.reserved.Len()
}

// subtractTicket subtracts a ticket that has left its heap from the totals of the queue and of its account.
func (q *Queue) subtractTicket(ticket *Ticket) {
	q.tokens -= ticket.Tokens
	flow := q.accounts[ticket.Account]
	flow.waiting--
	flow.tokens -= ticket.Tokens
	if q.Len() == 0 {
		q.reset()
	}
}

// reset starts a new busy period, in which all accounts start with the same virtual time.
func (q *Queue) reset() {
	clear(q.accounts)
	q.virtualTime = 0
	q.drain.idle = true
}

func (q *Queue) flow(account lavid.AccountID) *flow {
	if found, ok := q.accounts[account]; ok {
		return found
	}
	added := &flow{}
	q.accounts[account] = added
	return added
}
