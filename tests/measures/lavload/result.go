package lavload

import (
	"slices"
	"time"
)

// result collects what became of the requests that arrived in the measured part of a run.
type result struct {
	from, until time.Time
	accounts    map[int]*tally
	// bySecond holds times to the first token by the second of arrival, for plots.
	bySecond map[int][]time.Duration
}

// tally is the outcome of some requests.
type tally struct {
	offered int
	refused int
	failed  int
	ended   int
	good    int
	first   []time.Duration
	between []time.Duration
	whole   []time.Duration
}

func newResult() *result {
	return &result{until: epoch.Add(time.Hour), accounts: make(map[int]*tally), bySecond: make(map[int][]time.Duration)}
}

func (r *result) tally(q *request) *tally {
	if q.arrived.Before(r.from) || !q.arrived.Before(r.until) {
		return &tally{}
	}
	found, ok := r.accounts[q.account]
	if !ok {
		found = &tally{}
		r.accounts[q.account] = found
	}
	return found
}

func (r *result) offered(q *request, _ time.Time) { r.tally(q).offered++ }
func (r *result) refused(q *request, _ time.Time) { r.tally(q).refused++ }
func (r *result) failed(q *request, _ time.Time)  { r.tally(q).failed++ }

func (r *result) ended(q *request, _ time.Time) {
	first := q.first.Sub(q.arrived)
	second := int(q.arrived.Sub(epoch) / time.Second)
	r.bySecond[second] = append(r.bySecond[second], first)
	t := r.tally(q)
	t.ended++
	t.first = append(t.first, first)
	t.whole = append(t.whole, q.last.Sub(q.arrived))
	between := time.Duration(0)
	if q.output > 1 {
		between = q.last.Sub(q.first) / time.Duration(q.output-1)
		t.between = append(t.between, between)
	}
	if first <= firstTokenTarget && between <= betweenTokensTarget {
		t.good++
	}
}

// total sums all accounts but those left out.
func (r *result) total(without ...int) *tally {
	sum := &tally{}
	for account, t := range r.accounts {
		if slices.Contains(without, account) {
			continue
		}
		sum.offered += t.offered
		sum.refused += t.refused
		sum.failed += t.failed
		sum.ended += t.ended
		sum.good += t.good
		sum.first = append(sum.first, t.first...)
		sum.whole = append(sum.whole, t.whole...)
		sum.between = append(sum.between, t.between...)
	}
	return sum
}

const (
	middle = 0.50
	tail   = 0.95
)

func quantile(samples []time.Duration, part float64) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}
