package lavload

import (
	"slices"
	"time"
)

// result collects the outcomes of the requests that arrived in the measured part of a run.
type result struct {
	from, until time.Time
	accounts    map[int]*outcomes
	// bySecond holds times to first token by the second of arrival.
	bySecond map[int][]time.Duration
}

// outcomes counts outcomes of requests and holds the latencies of the completed ones.
type outcomes struct {
	offered   int
	refused   int
	failed    int
	completed int
	good      int // completed within both latency targets
	first     []time.Duration
	between   []time.Duration
	durations []time.Duration
}

func newResult() *result {
	return &result{until: epoch.Add(time.Hour), accounts: make(map[int]*outcomes), bySecond: make(map[int][]time.Duration)}
}

// outcomesOf returns the counters of the request's account. Requests outside the measured part get counters that are
// discarded.
func (r *result) outcomesOf(q *request) *outcomes {
	if q.arrived.Before(r.from) || !q.arrived.Before(r.until) {
		return &outcomes{}
	}
	found, ok := r.accounts[q.account]
	if !ok {
		found = &outcomes{}
		r.accounts[q.account] = found
	}
	return found
}

func (r *result) offered(q *request, _ time.Time) { r.outcomesOf(q).offered++ }
func (r *result) refused(q *request, _ time.Time) { r.outcomesOf(q).refused++ }
func (r *result) failed(q *request, _ time.Time)  { r.outcomesOf(q).failed++ }

// completed records a completed request and its latencies.
func (r *result) completed(q *request, _ time.Time) {
	first := q.first.Sub(q.arrived)
	second := int(q.arrived.Sub(epoch) / time.Second)
	r.bySecond[second] = append(r.bySecond[second], first)
	t := r.outcomesOf(q)
	t.completed++
	t.first = append(t.first, first)
	t.durations = append(t.durations, q.last.Sub(q.arrived))
	between := time.Duration(0)
	if q.output > 1 {
		between = q.last.Sub(q.first) / time.Duration(q.output-1)
		t.between = append(t.between, between)
	}
	if first <= firstTokenTarget && between <= betweenTokensTarget {
		t.good++
	}
}

// total sums the outcomes of all accounts except the excluded ones.
func (r *result) total(excluded ...int) *outcomes {
	sum := &outcomes{}
	for account, t := range r.accounts {
		if slices.Contains(excluded, account) {
			continue
		}
		sum.offered += t.offered
		sum.refused += t.refused
		sum.failed += t.failed
		sum.completed += t.completed
		sum.good += t.good
		sum.first = append(sum.first, t.first...)
		sum.durations = append(sum.durations, t.durations...)
		sum.between = append(sum.between, t.between...)
	}
	return sum
}

const (
	p50 = 0.50
	p95 = 0.95
)

// quantile returns the given quantile of the samples, or zero without samples.
func quantile(samples []time.Duration, part float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}
