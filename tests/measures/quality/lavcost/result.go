package lavcost

import "time"

// totals sums the requests of one account.
type totals struct {
	requests float64
	good     float64 // number of good answers
	cost     float64 // in billionths of the currency unit
}

func (t totals) quality() float64 {
	return t.good / t.requests
}

func (t totals) costPerRequest() float64 {
	return t.cost / t.requests
}

// result is the outcome of one policy on the requests of a workload.
type result struct {
	accounts []totals
	phases   [][phaseCount]totals
	// windows holds the totals of each account in consecutive windows of windowDuration.
	windows [][]totals
}

// windowDuration is the length of the windows whose totals are plotted.
const windowDuration = 2 * time.Minute

func newResult(accounts int) *result {
	return &result{accounts: make([]totals, accounts), phases: make([][phaseCount]totals, accounts), windows: make([][]totals, accounts)}
}

// add counts a request of the workload with the quality and the cost of its answer.
func (r *result) add(drawn request, good bool, cost float64) {
	account := drawn.account
	window := int(drawn.at / windowDuration)
	for len(r.windows[account]) <= window {
		r.windows[account] = append(r.windows[account], totals{})
	}
	r.accounts[account].add(good, cost)
	r.phases[account][drawn.phase].add(good, cost)
	r.windows[account][window].add(good, cost)
}

func (t *totals) add(good bool, cost float64) {
	t.requests++
	t.cost += cost
	if good {
		t.good++
	}
}

// runCascade tries the versions of a cascade in order, with a rating check between two versions. It returns the version
// whose answer is delivered and the total cost.
func (w *workload) runCascade(drawn request, cascade []int) (last int, cost float64) {
	for i, version := range cascade {
		last = version
		cost += w.versions[version].cost(drawn.relativeLength)
		if i == len(cascade)-1 || drawn.raterDown {
			break
		}
		cost += checkCost
		if !drawn.checkInTime || drawn.answers[version].accepted {
			break
		}
	}
	return last, cost
}

// fixedCascade serves every request with the same cascade.
func (w *workload) fixedCascade(cascade ...int) *result {
	all := newResult(len(w.accounts))
	for _, drawn := range w.requests {
		last, cost := w.runCascade(drawn, cascade)
		all.add(drawn, drawn.answers[last].good, cost)
	}
	return all
}
