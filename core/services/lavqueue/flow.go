package lavqueue

import (
	"container/heap"
	"time"

	"lavenderswitch/core/models/lavid"
)

// maxReservedBacklog is the backlog in tokens up to which an account counts as within its share.
const maxReservedBacklog = 2048

// flow holds the virtual-time state of one client account's waiting requests.
type flow struct {
	// lastFinish is the latest virtual finish time of the account's tickets.
	lastFinish float64
	// waiting and tokens are the number of waiting tickets and the sum of their tokens.
	waiting int
	tokens  lavid.Tokens
	weight  float64
}

// push counts a new ticket and sets its virtual finish time and whether it is reserved.
func (f *flow) push(ticket *Ticket, virtualTime float64) {
	f.waiting++
	f.tokens += ticket.Tokens
	f.weight = ticket.weight()
	ticket.reserved = f.lastFinish <= virtualTime+maxReservedBacklog/ticket.weight()
	f.lastFinish = max(f.lastFinish, virtualTime) + ticket.virtualService()
	ticket.virtualFinish = f.lastFinish
}

func (t *Ticket) weight() float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// virtualService returns the virtual time that serving the ticket takes: its tokens divided by the account's weight.
func (t *Ticket) virtualService() float64 {
	return float64(max(t.Tokens, 1)) / t.weight()
}

func (t *Ticket) virtualStart() float64 {
	return t.virtualFinish - t.virtualService()
}

// ticketHeap orders tickets by virtual finish time, then by arrival.
type ticketHeap struct {
	tickets []*Ticket
}

func (h *ticketHeap) Len() int { return len(h.tickets) }

func (h *ticketHeap) Less(i, j int) bool {
	if h.tickets[i].virtualFinish != h.tickets[j].virtualFinish {
		return h.tickets[i].virtualFinish < h.tickets[j].virtualFinish
	}
	return h.tickets[i].sequence < h.tickets[j].sequence
}

func (h *ticketHeap) Swap(i, j int) {
	h.tickets[i], h.tickets[j] = h.tickets[j], h.tickets[i]
	h.tickets[i].index = i
	h.tickets[j].index = j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(row any) {
	ticket, ok := row.(*Ticket)
	if !ok {
		return
	}
	ticket.index = len(h.tickets)
	h.tickets = append(h.tickets, ticket)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	last := len(h.tickets) - 1
	ticket := h.tickets[last]
	h.tickets[last] = nil
	h.tickets = h.tickets[:last]
	ticket.index = -1
	return ticket
}

func (h *ticketHeap) push(ticket *Ticket) {
	heap.Push(h, ticket)
}

func (h *ticketHeap) pop() *Ticket {
	ticket, _ := heap.Pop(h).(*Ticket)
	return ticket
}

// remove removes a ticket and reports whether the heap contained it.
func (h *ticketHeap) remove(ticket *Ticket) bool {
	if ticket.index < 0 || ticket.index >= len(h.tickets) || h.tickets[ticket.index] != ticket {
		return false
	}
	heap.Remove(h, ticket.index)
	return true
}

// overdue returns the tickets whose deadline has passed. They stay in the heap.
func (h *ticketHeap) overdue(now time.Time) []*Ticket {
	var overdue []*Ticket
	for _, ticket := range h.tickets {
		if !now.Before(ticket.Deadline) {
			overdue = append(overdue, ticket)
		}
	}
	return overdue
}

// tokensUpTo returns the tokens of all tickets whose virtual finish time is at most finish.
func (h *ticketHeap) tokensUpTo(finish float64) lavid.Tokens {
	sum := lavid.Tokens(0)
	for _, ticket := range h.tickets {
		if ticket.virtualFinish <= finish {
			sum += ticket.Tokens
		}
	}
	return sum
}
