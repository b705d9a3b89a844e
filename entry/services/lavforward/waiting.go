package lavforward

import (
	"context"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/services/lavdrain"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/core/services/lavwaiting"
)

const (
	// waitingInterval is how often waiting requests are looked at. Other hosts' reports arrive less often.
	waitingInterval = 20 * time.Millisecond
	// maxLookedAt is the number of waiting requests for which an engine is looked for each time. The first one may need
	// servers that others do not need.
	maxLookedAt = 4
)

// waitingRoom holds the requests that wait until an engine can serve them in time. It is safe for concurrent use.
type waitingRoom struct {
	metrics *Metrics
	clock   func() time.Time

	mu       sync.Mutex
	services map[lavid.ServiceID]*waitingService
	// timer is set while it will look at the waiting requests again.
	timer bool
	// plan is set once the host stops.
	plan *lavdrain.Plan
}

// waitingService holds the requests that wait for one service.
type waitingService struct {
	queue   *lavwaiting.Queue
	targets *lavwaiting.Targets
	waiters map[*lavwaiting.Item]*waiter
}

// waiter is one waiting request. Its fields are set before done is closed.
type waiter struct {
	execution *execution
	item      *lavwaiting.Item
	done      chan struct{}
	// chosen and job are set if the request goes to an engine.
	chosen choice
	job    *lavload.Job
	// quarantined is set if the request has been found to end servers meanwhile.
	quarantined bool
	// drained is set if the wait ends earlier because the host stops. The callers need not take turns then, as they return to
	// other hosts.
	drained bool
	// refused is the reason for which the request is refused; empty if it is not. retryAfter is when its turn would come.
	refused    string
	retryAfter time.Duration
}

func newWaitingRoom(metrics *Metrics, clock func() time.Time) *waitingRoom {
	return &waitingRoom{metrics: metrics, clock: clock, services: make(map[lavid.ServiceID]*waitingService)}
}

// mayWait reports whether the next send waits until an engine can serve it in time. Only the first one does: a request that
// has run already or whose stream has begun goes on at once.
func (e *execution) mayWait() bool {
	return e.request.Service.Engine != nil && e.sends == 0 && e.request.Route.LatencyTarget > 0
}

// wait returns the engine for the first send of a request, or the reason why it cannot be sent.
func (w *waitingRoom) wait(ctx context.Context, e *execution, model lavid.ModelID) *waiter {
	now := w.clock()
	entry := w.enter(e, model, now)
	select {
	case <-entry.done:
	case <-ctx.Done():
		w.leave(entry)
	}
	e.waited = w.clock().Sub(now)
	w.metrics.waited.WithLabelValues(string(e.request.Service.ID)).Observe(e.waited.Seconds())
	return entry
}

// enter adds a request and sends it on at once if an engine can serve it.
func (w *waitingRoom) enter(e *execution, model lavid.ModelID, now time.Time) *waiter {
	w.mu.Lock()
	defer w.mu.Unlock()
	service, found := w.services[e.request.Service.ID]
	if !found {
		service = &waitingService{queue: lavwaiting.New(), targets: lavwaiting.NewTargets(), waiters: make(map[*lavwaiting.Item]*waiter)}
		w.services[e.request.Service.ID] = service
	}
	route := e.request.Route
	service.targets.Record(route.Name, e.request.Urgency(), route.LatencyTarget, now)
	entry := &waiter{execution: e, done: make(chan struct{}), item: e.waitingItem(model)}
	if !service.queue.Add(entry.item, now) {
		entry.refused, entry.retryAfter = "too many requests wait", service.queue.ReturnAfter(entry.item, now)
		close(entry.done)
		return entry
	}
	service.waiters[entry.item] = entry
	w.limit(entry)
	w.advance(e.request.Service.ID, service, now)
	w.startTimer()
	return entry
}

// waitingItem returns the request as it waits.
func (e *execution) waitingItem(model lavid.ModelID) *lavwaiting.Item {
	deadline := e.request.Deadline
	if patience := e.request.Route.Patience; patience > 0 && e.request.Arrived.Add(patience).Before(deadline) {
		deadline = e.request.Arrived.Add(patience)
	}
	return &lavwaiting.Item{
		Account:  e.request.AccountID(),
		Urgency:  e.request.Urgency(),
		Work:     float64(e.request.Prompt.Input) * e.readFactor(model),
		Bytes:    len(e.request.Body),
		Target:   e.request.Arrived.Add(e.request.Route.LatencyTarget),
		Deadline: deadline,
	}
}

// drain ends the waits by the plan of a stopping host, those that would last too long at once.
func (w *waitingRoom) drain(plan lavdrain.Plan, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.plan = &plan
	for id, service := range w.services {
		for _, entry := range service.waiters {
			w.limit(entry)
		}
		w.advance(id, service, now)
	}
}

// limit applies the plan of a stopping host to a waiting request; the caller holds the mutex.
func (w *waitingRoom) limit(entry *waiter) {
	if w.plan == nil {
		return
	}
	until := w.plan.WaitUntil(entry.execution.request.Route.Kind == lavroute.Streaming, entry.item.Deadline)
	entry.drained = until.Before(entry.item.Deadline)
	entry.item.Deadline = until
}

// leave removes a request whose caller has left. If it was sent on at the same time, its job is ended.
func (w *waitingRoom) leave(entry *waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-entry.done:
		if entry.job != nil {
			entry.execution.release(entry.chosen, entry.job)
			entry.job = nil
		}
	default:
		service := w.services[entry.execution.request.Service.ID]
		service.queue.Remove(entry.item)
		delete(service.waiters, entry.item)
	}
	entry.refused = "deadline has passed"
}

// startTimer looks at the waiting requests again after waitingInterval, if there are any; the caller holds the mutex.
func (w *waitingRoom) startTimer() {
	if w.timer {
		return
	}
	for _, service := range w.services {
		if service.queue.Len() > 0 {
			w.timer = true
			time.AfterFunc(waitingInterval, w.tick)
			return
		}
	}
}

// tick looks at the waiting requests of all services.
func (w *waitingRoom) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = false
	now := w.clock()
	for id, service := range w.services {
		w.advance(id, service, now)
	}
	w.startTimer()
}

// advance refuses the requests that cannot get their turn and sends on those that an engine can serve; the caller holds the
// mutex.
func (w *waitingRoom) advance(id lavid.ServiceID, service *waitingService, now time.Time) {
	for _, item := range service.queue.Hopeless(now) {
		service.queue.Remove(item)
		turn := service.queue.ReturnAfter(item, now)
		w.finish(service, item, func(entry *waiter) {
			entry.refused, entry.retryAfter = "its turn would come after the deadline", turn
			if entry.drained {
				entry.refused, entry.retryAfter = "host is stopping", 0
			}
		})
	}
	w.refuseQuarantined(service, now)
	missed := 0
	for _, item := range service.queue.Ordered(now) {
		if missed == maxLookedAt {
			break
		}
		e := service.waiters[item].execution
		allowance := service.targets.Allowance(item.Urgency, e.request.Route.LatencyTarget, now)
		chosen, job, refused := e.placeWithin(allowance, now)
		switch {
		case refused != "":
			service.queue.Remove(item)
			w.finish(service, item, func(entry *waiter) { entry.refused = refused })
		case job == nil:
			missed++
		default:
			service.queue.Release(item, now)
			w.finish(service, item, func(entry *waiter) { entry.chosen, entry.job = chosen, job })
		}
	}
	w.metrics.waiting.WithLabelValues(string(id)).Set(float64(service.queue.Len()))
}

// refuseQuarantined ends the wait of the requests that have been found to end servers; the caller holds the mutex.
func (w *waitingRoom) refuseQuarantined(service *waitingService, now time.Time) {
	for item, entry := range service.waiters {
		if entry.execution.isQuarantined(now) {
			service.queue.Remove(item)
			w.finish(service, item, func(entry *waiter) { entry.quarantined = true })
		}
	}
}

// finish ends the wait of a request.
func (w *waitingRoom) finish(service *waitingService, item *lavwaiting.Item, set func(*waiter)) {
	entry := service.waiters[item]
	delete(service.waiters, item)
	set(entry)
	close(entry.done)
}

// placeWithin reserves the best engine at which the work in progress delays the request by at most the allowance. The job is
// nil if there is none now. The reason is set if no server may take the request at all.
func (e *execution) placeWithin(allowance time.Duration, now time.Time) (choice, *lavload.Job, string) {
	rows := e.candidates(e.excluded, now)
	if len(rows) == 0 {
		return choice{}, nil, "no server may take the request"
	}
	if capacity := e.request.Service.Engine.Capacity; capacity > 0 && e.memoryTokens() > capacity {
		return choice{}, nil, "request exceeds the memory of every server"
	}
	model := e.chooseModel()
	chosen, ok := e.chooseEngine(rows, model, allowance, now)
	if !ok {
		return choice{}, nil, ""
	}
	job, ok := e.reserve(chosen, model, now)
	if !ok {
		return choice{}, nil, ""
	}
	return chosen, job, ""
}

// shortestTarget returns the shortest latency target of the requests that a service got lately, or zero without any.
func (w *waitingRoom) shortestTarget(id lavid.ServiceID, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	service, found := w.services[id]
	if !found {
		return 0
	}
	return service.targets.Shortest(now)
}
