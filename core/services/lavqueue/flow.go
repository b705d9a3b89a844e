package lavqueue

import (
	"container/heap"
	"time"

	"lavenderswitch/core/models/lavid"
)

// reservedBurst in tokens may be waiting of an account that counts as within its part.
const reservedBurst = 2048

// flow is the queue of one client account in virtual time.
type flow struct {
	last    float64
	waiting int
	tokens  lavid.Tokens
	weight  float64
}

func (f *flow) push(ticket *Ticket, virtual float64) {
	f.waiting++
	f.tokens += ticket.Tokens
	f.weight = ticket.weight()
	ticket.reserved = f.last <= virtual+reservedBurst/ticket.weight()
	f.last = max(f.last, virtual) + ticket.service()
	ticket.finish = f.last
}

func (t *Ticket) weight() float64 {
	if t.Weight <= 0 {
		return 1
	}
	return t.Weight
}

// service is the virtual time that the ticket takes of its account.
func (t *Ticket) service() float64 {
	return float64(max(t.Tokens, 1)) / t.weight()
}

func (t *Ticket) start() float64 {
	return t.finish - t.service()
}

// ticketHeap orders tickets by virtual finish time, then by arrival.
type ticketHeap struct {
	rows []*Ticket
}

func (h *ticketHeap) Len() int { return len(h.rows) }

func (h *ticketHeap) Less(i, j int) bool {
	if h.rows[i].finish != h.rows[j].finish {
		return h.rows[i].finish < h.rows[j].finish
	}
	return h.rows[i].order < h.rows[j].order
}

func (h *ticketHeap) Swap(i, j int) {
	h.rows[i], h.rows[j] = h.rows[j], h.rows[i]
	h.rows[i].index = i
	h.rows[j].index = j
}

// Push is for container/heap.
func (h *ticketHeap) Push(row any) {
	ticket, ok := row.(*Ticket)
	if !ok {
		return
	}
	ticket.index = len(h.rows)
	h.rows = append(h.rows, ticket)
}

// Pop is for container/heap.
func (h *ticketHeap) Pop() any {
	last := len(h.rows) - 1
	ticket := h.rows[last]
	h.rows[last] = nil
	h.rows = h.rows[:last]
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

func (h *ticketHeap) remove(ticket *Ticket) bool {
	if ticket.index < 0 || ticket.index >= len(h.rows) || h.rows[ticket.index] != ticket {
		return false
	}
	heap.Remove(h, ticket.index)
	return true
}

func (h *ticketHeap) overdue(now time.Time) []*Ticket {
	var overdue []*Ticket
	for _, ticket := range h.rows {
		if !now.Before(ticket.Deadline) {
			overdue = append(overdue, ticket)
		}
	}
	return overdue
}

// before sums the tokens with an earlier virtual finish.
func (h *ticketHeap) before(finish float64) lavid.Tokens {
	sum := lavid.Tokens(0)
	for _, ticket := range h.rows {
		if ticket.finish <= finish {
			sum += ticket.Tokens
		}
	}
	return sum
}
