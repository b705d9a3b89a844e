package lavcost

import "time"

// tally sums what one account got.
type tally struct {
	requests float64
	good     float64
	cost     float64
}

func (t tally) quality() float64 {
	return t.good / t.requests
}

func (t tally) perRequest() float64 {
	return t.cost / t.requests
}

// result is what one policy did with the requests of a world.
type result struct {
	accounts []tally
	phases   [][phaseCount]tally
	// windows holds the tallies of each account in consecutive windows of time.
	windows [][]tally
}

const windowLength = 2 * time.Minute

func newResult(accounts int) *result {
	return &result{accounts: make([]tally, accounts), phases: make([][phaseCount]tally, accounts), windows: make([][]tally, accounts)}
}

func (r *result) add(drawn request, good bool, cost float64) {
	account := drawn.account
	window := int(drawn.at / windowLength)
	for len(r.windows[account]) <= window {
		r.windows[account] = append(r.windows[account], tally{})
	}
	r.accounts[account].add(good, cost)
	r.phases[account][drawn.phase].add(good, cost)
	r.windows[account][window].add(good, cost)
}

func (t *tally) add(good bool, cost float64) {
	t.requests++
	t.cost += cost
	if good {
		t.good++
	}
}

// run tries versions in order on a request, with a rating check between, and returns the last version tried and the cost.
func (w *world) run(drawn request, order []int) (last int, cost float64) {
	for i, version := range order {
		last = version
		cost += w.versions[version].cost(drawn.tokens)
		if i == len(order)-1 || drawn.down {
			break
		}
		cost += checkCost
		if !drawn.checked || drawn.answers[version].accepted {
			break
		}
	}
	return last, cost
}

// fixed serves every request by one order of versions.
func (w *world) fixed(order ...int) *result {
	all := newResult(len(w.accounts))
	for _, drawn := range w.requests {
		last, cost := w.run(drawn, order)
		all.add(drawn, drawn.answers[last].good, cost)
	}
	return all
}
