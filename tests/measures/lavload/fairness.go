package lavload

import (
	"time"

	"github.com/sourcegraph/conc/iter"

	"lavenderswitch/tests/measures/lavreport"
)

const (
	accountLoad     = 0.15 // request rate of an account relative to the capacity
	otherAccounts   = 4
	largeFactor     = 10  // factor by which one account exceeds the rate of the others
	maxRatio        = 1.1 // allowed ratio to the run in which all accounts are equal
	fairnessRunTime = 60 * time.Second
)

// fairnessCase is a policy and the factor by which one account exceeds the rate of the others.
type fairnessCase struct {
	policy policy
	factor float64
}

// Fairness measures the other accounts while one account sends ten times its share.
func Fairness(options lavreport.Options) ([]lavreport.Row, error) {
	f := serverPool()
	rate := capacity(f, unitRate(options.Seed))
	fifo := routerPolicy()
	fifo.name, fifo.fair = "first in, first out", false
	policies := []policy{baseline(chooseLeastRequests), fifo, routerPolicy()}
	var cases []fairnessCase
	for _, p := range policies {
		cases = append(cases, fairnessCase{p, 1}, fairnessCase{p, largeFactor})
	}
	measured := iter.Map(cases, func(c *fairnessCase) *outcomes {
		return measureFairness(*c, f, rate, options.Seed)
	})
	var rows []lavreport.Row
	for i, p := range policies {
		rows = append(rows, fairnessRow(p, measured[2*i], measured[2*i+1], options.Seed))
	}
	return rows, nil
}

func measureFairness(c fairnessCase, f fleet, rate float64, seed uint64) *outcomes {
	rates := []float64{c.factor}
	for range otherAccounts {
		rates = append(rates, 1)
	}
	total := accountLoad * rate * (otherAccounts + c.factor)
	w := workload{phases: []phase{{fairnessRunTime, total}}, accountRates: rates, prefixes: prefixCount, seed: seed}
	r := newRun(c.policy, f, seed)
	r.result.from = epoch.Add(calmLength)
	r.result.until = epoch.Add(fairnessRunTime)
	return r.simulate(w).total(0)
}

// fairnessRow compares the other accounts in the run with one large account, crowded, with those in the run where all rates
// are equal.
func fairnessRow(p policy, equal, crowded *outcomes, seed uint64) lavreport.Row {
	first := float64(quantile(crowded.first, p95)) / float64(quantile(equal.first, p95))
	whole := float64(quantile(crowded.durations, p95)) / float64(quantile(equal.durations, p95))
	success := percent(equal.completed, equal.offered) / max(percent(crowded.completed, crowded.offered), 1)
	row := lavreport.Row{
		Measure: "fairness (direct)", Case: "one account at 10x, others at 0.6x", Policy: p.name, Seed: seed, Verdict: lavreport.Baseline,
		Figures: []lavreport.Figure{
			lavreport.Number("others' first p95 ms", millis(quantile(crowded.first, p95)), 0),
			lavreport.Number("first p95 ratio", first, 2),
			lavreport.Number("whole p95 ratio", whole, 2),
			lavreport.Number("success %", percent(crowded.completed, crowded.offered), 1),
			lavreport.Number("success ratio", success, 3),
		},
	}
	if p.fair {
		row.Aim = "others within 1.1x"
		row.Verdict = lavreport.Judge(first <= maxRatio && whole <= maxRatio && success <= maxRatio)
	}
	return row
}
