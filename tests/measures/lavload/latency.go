package lavload

import (
	"fmt"
	"time"

	"github.com/sourcegraph/conc/iter"

	"lavenderswitch/tests/measures/lavreport"
)

const (
	calmLength  = 15 * time.Second // length of the phase before the surge
	surgeLength = 40 * time.Second
	calmLoad    = 0.3 // request rate relative to the capacity
	entryHosts  = 4
	prefixCount = 200 // different prompt prefixes
	poolSize    = 12  // backend servers
)

// mixedSpeeds returns the relative speeds of the servers in a pool.
func mixedSpeeds(count int) []float64 {
	kinds := []float64{1.3, 1.0, 0.8, 0.6}
	speeds := make([]float64, 0, count)
	for i := range count {
		speeds = append(speeds, kinds[i%len(kinds)])
	}
	return speeds
}

// serverPool returns the fleet of the simulated measurements.
func serverPool() fleet {
	return fleet{speeds: mixedSpeeds(poolSize), dataCentres: 3, entries: entryHosts}
}

// unitRate returns the highest request rate at which a single server of speed one meets both latency targets. It searches by
// bisection.
func unitRate(seed uint64) float64 {
	low, high := 1.0, 40.0
	for range 8 {
		rate := (low + high) / 2
		single := newRun(baseline(chooseRandom), fleet{speeds: []float64{1}, dataCentres: 1, entries: 1}, seed)
		t := single.simulate(evenWorkload(rate, 60*time.Second, seed)).total()
		met := t.refused == 0 && quantile(t.first, p95) <= firstTokenTarget && quantile(t.between, p95) <= betweenTokensTarget
		if met {
			low = rate
		} else {
			high = rate
		}
	}
	return low
}

// evenWorkload returns a workload with a constant rate and four equal accounts.
func evenWorkload(rate float64, length time.Duration, seed uint64) workload {
	return workload{phases: []phase{{length, rate}}, accountRates: []float64{1, 1, 1, 1}, prefixes: prefixCount, seed: seed}
}

// capacity returns the request rate that a fleet can serve, given the rate of a server of speed one.
func capacity(f fleet, unit float64) float64 {
	sum := 0.0
	for _, speed := range f.speeds {
		sum += speed * unit
	}
	return sum
}

// latencyCase is a policy and the load of the surge relative to the capacity.
type latencyCase struct {
	load   float64
	policy policy
}

// Latency measures a surge after a calm phase, at several loads relative to the capacity of a pool of unequal servers.
func Latency(options lavreport.Options) ([]lavreport.Row, error) {
	f := serverPool()
	rate := capacity(f, unitRate(options.Seed))
	policies := []policy{baseline(chooseRandom), baseline(chooseRoundRobin), baseline(chooseLeastRequests), routerPolicy()}
	var cases []latencyCase
	for _, load := range []float64{0.5, 0.8, 1.0, 1.5} {
		for _, p := range policies {
			cases = append(cases, latencyCase{load, p})
		}
	}
	measured := iter.Map(cases, func(c *latencyCase) *outcomes {
		w := workload{
			phases:       []phase{{calmLength, calmLoad * rate}, {surgeLength, c.load * rate}},
			accountRates: []float64{1, 1, 1, 1}, prefixes: prefixCount, seed: options.Seed,
		}
		r := newRun(c.policy, f, options.Seed)
		r.result.from = epoch.Add(calmLength)
		return r.simulate(w).total()
	})
	return latencyRows(cases, measured, options.Seed), nil
}

func latencyRows(cases []latencyCase, measured []*outcomes, seed uint64) []lavreport.Row {
	fullLoadGoodput := map[string]float64{}
	var rows []lavreport.Row
	for i, c := range cases {
		t := measured[i]
		goodput := float64(t.good) / surgeLength.Seconds()
		if c.load == 1.0 {
			fullLoadGoodput[c.policy.name] = goodput
		}
		row := lavreport.Row{
			Measure: "latency (direct)", Case: fmt.Sprintf("surge to %.1fx", c.load), Policy: c.policy.name, Seed: seed,
			Verdict: lavreport.Baseline,
			Figures: append(latencyFigures(t), lavreport.Number("goodput/s", goodput, 1)),
		}
		if c.policy.name == routerPolicy().name {
			judgeLatency(&row, c.load, t, goodput, fullLoadGoodput[c.policy.name])
		}
		rows = append(rows, row)
	}
	return rows
}

// judgeLatency compares latency with the targets up to full load, and goodput with that at full load above it.
func judgeLatency(row *lavreport.Row, load float64, t *outcomes, goodput, fullLoadGoodput float64) {
	if load > 1 {
		row.Aim = "goodput at least 0.95 of 1.0x"
		row.Figures = append(row.Figures, lavreport.Number("of 1.0x", goodput/fullLoadGoodput, 3))
		row.Verdict = lavreport.Judge(goodput >= 0.95*fullLoadGoodput)
		return
	}
	row.Aim = "p95 within 1.7 s and 48 ms"
	met := quantile(t.first, p95) <= firstTokenTarget && quantile(t.between, p95) <= betweenTokensTarget
	row.Verdict = lavreport.Judge(met)
}

func latencyFigures(t *outcomes) []lavreport.Figure {
	return []lavreport.Figure{
		lavreport.Number("first p50 ms", millis(quantile(t.first, p50)), 0),
		lavreport.Number("first p95 ms", millis(quantile(t.first, p95)), 0),
		lavreport.Number("between p95 ms", millis(quantile(t.between, p95)), 1),
		lavreport.Number("refused %", percent(t.refused, t.offered), 1),
		lavreport.Number("failed %", percent(t.failed, t.offered), 1),
	}
}

func millis(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func percent(part, whole int) float64 {
	return 100 * float64(part) / float64(max(whole, 1))
}
