package lavload

import (
	"time"

	"github.com/sourcegraph/conc/iter"

	"lavenderswitch/tests/measures/lavreport"
)

const (
	accountPart   = 0.15
	otherAccounts = 4
	largeFactor   = 10
	fairBound     = 1.1
	fairLength    = 60 * time.Second
)

type fairCase struct {
	policy policy
	factor float64
}

// Fairness measures other accounts while one account sends ten times its share.
func Fairness(options lavreport.Options) ([]lavreport.Row, error) {
	f := poolOfServers()
	rate := capacity(f, unitRate(options.Seed))
	first := whole()
	first.name, first.fair = "first in, first out", false
	policies := []policy{baseline(chooseLeast), first, whole()}
	var cases []fairCase
	for _, p := range policies {
		cases = append(cases, fairCase{p, 1}, fairCase{p, largeFactor})
	}
	tallies := iter.Map(cases, func(c *fairCase) *tally {
		return measureFair(*c, f, rate, options.Seed)
	})
	var rows []lavreport.Row
	for i, p := range policies {
		rows = append(rows, fairRow(p, tallies[2*i], tallies[2*i+1], options.Seed))
	}
	return rows, nil
}

func measureFair(c fairCase, f fleet, rate float64, seed uint64) *tally {
	rates := []float64{c.factor}
	for range otherAccounts {
		rates = append(rates, 1)
	}
	total := accountPart * rate * (otherAccounts + c.factor)
	w := workload{phases: []phase{{fairLength, total}}, accountRates: rates, prefixes: prefixCount, seed: seed}
	r := newRun(c.policy, f, seed)
	r.result.from = epoch.Add(calmLength)
	r.result.until = epoch.Add(fairLength)
	return r.simulate(w).total(0)
}

func fairRow(p policy, alone, crowded *tally, seed uint64) lavreport.Row {
	first := float64(quantile(crowded.first, tail)) / float64(quantile(alone.first, tail))
	whole := float64(quantile(crowded.whole, tail)) / float64(quantile(alone.whole, tail))
	success := percent(alone.ended, alone.offered) / max(percent(crowded.ended, crowded.offered), 1)
	row := lavreport.Row{
		Measure: "fairness (direct)", Case: "one account at 10x, others at 0.6x", Policy: p.name, Seed: seed, Verdict: lavreport.Baseline,
		Figures: []lavreport.Figure{
			lavreport.Number("others' first p95 ms", millis(quantile(crowded.first, tail)), 0),
			lavreport.Number("first p95 ratio", first, 2),
			lavreport.Number("whole p95 ratio", whole, 2),
			lavreport.Number("success %", percent(crowded.ended, crowded.offered), 1),
			lavreport.Number("success ratio", success, 3),
		},
	}
	if p.fair {
		row.Aim = "others within 1.1x"
		row.Verdict = lavreport.Judge(first <= fairBound && whole <= fairBound && success <= fairBound)
	}
	return row
}
