package lavwaiting

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lavenderswitch/core/models/lavid"
)

const (
	// maxItems is the number of requests that wait for a service at a host, and maxBytes the size of their bodies.
	maxItems = 512
	maxBytes = 16 << 20
	// rateWindow is the time constant of the rate at which this host's work is released.
	rateWindow = 2 * time.Second
	// minRateTime is how long work must have been released before a turn is predicted by the rate.
	minRateTime = time.Second
)

// Item is a request that waits.
type Item struct {
	Account lavid.AccountID
	// Urgency is the urgency of the request; zero is the most urgent.
	Urgency int
	// Work is what an engine reads for the request, in tokens of the smallest model, and Bytes the size of its body.
	Work  float64
	Bytes int
	// Target is when the first event is late, and Deadline when the caller stops waiting.
	Target   time.Time
	Deadline time.Time

	number int
	// start is the virtual time of the item, in work of its account.
	start float64
}

// Queue holds the requests of a service that wait at this host. It is not safe for concurrent use.
type Queue struct {
	items  []*Item
	bytes  int
	number int
	// virtual is the virtual time of the item released last, and finish that of the latest item of each account.
	virtual float64
	finish  map[lavid.AccountID]float64
	// released is the work that was released while requests waited since busySince, and arrived the work that arrived
	// meanwhile, by urgency.
	released  flow
	arrived   map[int]*flow
	busySince time.Time
	// nextReturn is when the next refused caller is asked to come back.
	nextReturn time.Time
}

// flow is a rate of work with the weight of the past decaying by rateWindow.
type flow struct {
	sum float64
	at  time.Time
}

// add adds work at a time.
func (f *flow) add(work float64, now time.Time) {
	f.sum = f.sum*math.Exp(-now.Sub(f.at).Seconds()/rateWindow.Seconds()) + work
	f.at = now
}

// rate returns the work a second since a time; it is zero at that time.
func (f *flow) rate(since, now time.Time) float64 {
	covered := rateWindow.Seconds() * (1 - math.Exp(-now.Sub(since).Seconds()/rateWindow.Seconds()))
	if covered <= 0 {
		return 0
	}
	return f.sum * math.Exp(-now.Sub(f.at).Seconds()/rateWindow.Seconds()) / covered
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{finish: make(map[lavid.AccountID]float64), arrived: make(map[int]*flow)}
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.items) }

// Add adds a request and reports whether there is room for it.
func (q *Queue) Add(item *Item, now time.Time) bool {
	if len(q.items) >= maxItems || q.bytes+item.Bytes > maxBytes {
		return false
	}
	if len(q.items) == 0 {
		q.busySince, q.released = now, flow{at: now}
		clear(q.arrived)
	} else {
		// The request that begins the wait is no measure of how many follow.
		if q.arrived[item.Urgency] == nil {
			q.arrived[item.Urgency] = &flow{at: now}
		}
		q.arrived[item.Urgency].add(item.Work, now)
	}
	q.number++
	item.number = q.number
	// The items of an account follow each other in virtual time, so that accounts get equal work while they wait.
	item.start = max(q.virtual, q.finish[item.Account])
	q.finish[item.Account] = item.start + item.Work
	q.items = append(q.items, item)
	q.bytes += item.Bytes
	return true
}

// Remove removes a request, because it was released or its caller left.
func (q *Queue) Remove(item *Item) {
	position := slices.Index(q.items, item)
	if position < 0 {
		return
	}
	q.items = slices.Delete(q.items, position, position+1)
	q.bytes -= item.Bytes
	if len(q.items) == 0 {
		clear(q.finish)
		q.virtual = 0
	}
}

// Release removes a request that goes to an engine.
func (q *Queue) Release(item *Item, now time.Time) {
	q.released.add(item.Work, now)
	q.virtual = max(q.virtual, item.start)
	q.Remove(item)
}

// Ordered returns the requests in the order in which they are to be released: those that can still be in time before those
// that are late, the more urgent ones first, and accounts by turns.
func (q *Queue) Ordered(now time.Time) []*Item {
	ordered := slices.Clone(q.items)
	slices.SortFunc(ordered, func(a, b *Item) int { return compare(a, b, now) })
	return ordered
}

func compare(a, b *Item, now time.Time) int {
	late := func(item *Item) int {
		if now.After(item.Target) {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(late(a), late(b)),
		cmp.Compare(a.Urgency, b.Urgency),
		cmp.Compare(a.start, b.start),
		cmp.Compare(a.number, b.number),
	)
}

// ReturnAfter returns when the caller of a refused request is to come back: after the requests that wait and the callers that
// were refused before, as many at a time as the host can release. It returns zero while the rate is not known.
func (q *Queue) ReturnAfter(item *Item, now time.Time) time.Duration {
	rate, known := q.rate(now)
	if !known {
		return 0
	}
	waiting := 0.0
	for _, other := range q.items {
		if other != item {
			waiting += other.Work
		}
	}
	turn := now.Add(time.Duration(waiting / rate * float64(time.Second)))
	if turn.Before(q.nextReturn) {
		turn = q.nextReturn
	}
	q.nextReturn = turn.Add(time.Duration(item.Work / rate * float64(time.Second)))
	return turn.Sub(now)
}

// rate returns the work released a second, as of the latest release, or false while too little is known.
func (q *Queue) rate(now time.Time) (float64, bool) {
	rate := q.released.rate(q.busySince, q.released.at)
	return rate, now.Sub(q.busySince) >= minRateTime && rate > 0
}

// overtaking returns the work a second that arrives and is released before an item that arrived earlier: that of more urgent
// kinds, and for a late item that of all kinds.
func (q *Queue) overtaking(item *Item, now time.Time) float64 {
	sum := 0.0
	for urgency, arrived := range q.arrived {
		if urgency < item.Urgency || now.After(item.Target) {
			sum += arrived.rate(q.busySince, now)
		}
	}
	return sum
}

// Hopeless returns the requests that cannot get their turn before their deadline, among them those that are overtaken by more
// work than is released.
func (q *Queue) Hopeless(now time.Time) []*Item {
	var hopeless []*Item
	before := 0.0
	rate, known := q.rate(now)
	for _, item := range q.Ordered(now) {
		left := item.Deadline.Sub(now).Seconds()
		// The first one is next, however much overtook those before it.
		if left <= 0 || known && before > 0 && before > left*(rate-q.overtaking(item, now)) {
			hopeless = append(hopeless, item)
			continue
		}
		before += item.Work
	}
	return hopeless
}
