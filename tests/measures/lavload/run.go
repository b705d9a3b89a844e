package lavload

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavlimit"
	"lavenderswitch/core/services/lavqueue"
)

// fleet describes the backend servers and entry hosts of a run.
type fleet struct {
	speeds      []float64
	dataCentres int
	entries     int
}

// event is a change of the fleet at a point in the run.
type event struct {
	at    time.Duration
	apply func(r *run, now time.Time)
}

// run simulates one policy under one workload.
type run struct {
	policy  policy
	servers []*server
	entries []*entry
	events  []event
	pending []reportDelivery
	result  *result
}

// reportDelivery is a load report in transit to an entry host.
type reportDelivery struct {
	entry *entry
	view  *serverView
}

const (
	drainDuration  = 30 * time.Second       // simulated time after the last request
	reportInterval = 100 * time.Millisecond // time between two load reports of a server
)

func newRun(p policy, f fleet, seed uint64, events ...event) *run {
	r := &run{policy: p, events: events, result: newResult()}
	for i, speed := range f.speeds {
		r.servers = append(r.servers, newServer(i, f.dataCentres, speed, p.limit, epoch))
	}
	for i := range f.entries {
		id := lavid.HostID(fmt.Sprintf("entry-%d", i))
		r.entries = append(r.entries, newEntry(id, dataCentreID(i%f.dataCentres), p, r.servers, seed, epoch))
	}
	return r
}

// simulate runs the workload in steps of stepTime until drainDuration after its end.
func (r *run) simulate(w workload) *result {
	requests := w.generate()
	end := epoch.Add(w.length() + drainDuration)
	lastReport := epoch
	for now := epoch; now.Before(end); now = now.Add(stepTime) {
		r.applyEvents(now)
		r.deliverReports(now)
		for len(requests) > 0 && !requests[0].arrived.After(now) {
			r.arrive(requests[0], now)
			requests = requests[1:]
		}
		for _, s := range r.servers {
			r.stepServer(s, now)
		}
		for _, e := range r.entries {
			r.dispatchQueued(e, now)
		}
		if now.Sub(lastReport) >= reportInterval {
			lastReport = now
			r.heartbeat()
		}
	}
	return r.result
}

func (r *run) applyEvents(now time.Time) {
	for len(r.events) > 0 && now.Sub(epoch) >= r.events[0].at {
		r.events[0].apply(r, now)
		r.events = r.events[1:]
	}
}

// deliverReports applies the load reports in transit to the views of the entry hosts.
func (r *run) deliverReports(now time.Time) {
	for _, d := range r.pending {
		d.view.report(now)
	}
	r.pending = r.pending[:0]
}

// heartbeat sends load reports of the servers to the entry hosts that have requests running there.
func (r *run) heartbeat() {
	for _, e := range r.entries {
		for _, v := range e.views {
			if v.ownRunning > 0 {
				r.pending = append(r.pending, reportDelivery{e, v})
			}
		}
	}
}

// arrive queues a new request, or dispatches it directly if the policy has no queue.
func (r *run) arrive(q *request, now time.Time) {
	q.entry = r.entries[q.id%len(r.entries)]
	r.result.offered(q, now)
	q.entry.budget.RecordFirstAttempt(accountID(q.account), now)
	if !r.policy.queue {
		if !r.dispatch(q, now) {
			r.result.refused(q, now)
		}
		return
	}
	account := accountID(q.account)
	if !r.policy.fair {
		account = "all"
	}
	item := lavqueue.Item{Account: account, Tokens: lavid.Tokens(int(q.prompt) + q.output), Deadline: q.deadline, Value: q}
	ticket, refusal := q.entry.queue.Push(item, now)
	if refusal != nil {
		r.result.refused(q, now)
		return
	}
	q.ticket = ticket
	r.dispatchQueued(q.entry, now)
}

func accountID(account int) lavid.AccountID {
	return lavid.AccountID(fmt.Sprintf("account-%d", account))
}

// dispatchQueued dispatches queued requests while the servers appear to have free capacity.
func (r *run) dispatchQueued(e *entry, now time.Time) {
	if !r.policy.queue {
		return
	}
	for _, ticket := range e.queue.Expire(now) {
		r.result.refused(requestOf(ticket), now)
	}
	limit := lavqueue.FreeCapacity
	for e.queue.Len() > 0 {
		ticket, ok := e.queue.Pop(min(limit, e.freeCapacity(now)), now)
		if !ok {
			return
		}
		if r.dispatch(requestOf(ticket), now) {
			e.queue.RecordDrained(ticket.Tokens, now)
			continue
		}
		e.queue.Requeue(ticket)
		if ticket.Reserved() {
			return
		}
		limit = lavqueue.ReservedCapacity
	}
}

func requestOf(ticket *lavqueue.Ticket) *request {
	q, _ := ticket.Value.(*request)
	return q
}

// dispatch tries up to maxAttempts servers and reports whether one admitted the request.
func (r *run) dispatch(q *request, now time.Time) bool {
	excluded := make(map[*server]bool)
	for range maxAttempts {
		v := q.entry.choose(q, excluded, now)
		if v == nil {
			return false
		}
		if v.server.engine.down(now) {
			v.health = v.health.AfterFailure(now)
		}
		admitted, lost := v.server.admit(q, now)
		if admitted {
			v.ownRunning++
			v.ownSinceReport++
			q.entry.prefixes.RecordRoute(v.server.id, prefixKey(q), now)
		}
		r.pending = append(r.pending, reportDelivery{q.entry, v})
		r.retryLost(v.server, lost, now)
		if admitted {
			return true
		}
		excluded[v.server] = true
	}
	return false
}

// retryLost handles requests that a crashed engine lost: it retries them within the retry budget and fails the others.
func (r *run) retryLost(s *server, lost []*request, now time.Time) {
	for _, q := range lost {
		q.permit.Done(lavlimit.Failed, now)
		v := q.entry.viewOf(s)
		v.ownRunning--
		v.health = v.health.AfterFailure(now)
	}
	for _, q := range lost {
		q.attempts++
		q.first = time.Time{}
		q.produced = 0
		if q.attempts >= maxAttempts || !q.entry.budget.Spend(accountID(q.account), now) || !r.dispatch(q, now) {
			r.result.failed(q, now)
		}
	}
}

// stepServer advances a server and records tokens and finished requests.
func (r *run) stepServer(s *server, now time.Time) {
	s.tick(now)
	progressed, ended := s.engine.step(now)
	s.bySecond[int(now.Sub(epoch)/time.Second)] += len(progressed)
	for _, q := range progressed {
		if q.first.IsZero() {
			q.first = now
		}
		q.last = now
		q.permit.RecordTokens(1, now)
	}
	for _, q := range ended {
		q.permit.Done(lavlimit.Succeeded, now)
		v := q.entry.viewOf(s)
		v.ownRunning--
		v.health = v.health.AfterSuccess(now)
		r.pending = append(r.pending, reportDelivery{q.entry, v})
		r.result.completed(q, now)
	}
}

func sortEvents(events []event) {
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
}
