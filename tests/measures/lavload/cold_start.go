package lavload

import (
	"time"

	"github.com/sourcegraph/conc/iter"

	"lavenderswitch/tests/measures/lavreport"
)

const (
	joinAt       = 25 * time.Second // time of the run at which servers join or turn cold
	joinLoad     = 1.0              // request rate relative to the capacity
	turnColdLoad = 0.8              // request rate relative to the capacity
	// coldRepeats is the number of runs with consecutive seeds whose results are summed in each case.
	coldRepeats = 5
	// fullUseShare is the share of its later throughput at which a server counts as fully used.
	fullUseShare = 0.9
	// laterSeconds is the number of seconds at the end of the workload over which the later throughput is measured.
	laterSeconds = 15
)

// coldCase is a policy with the events that make the servers with the indexes coldServers cold.
type coldCase struct {
	name        string
	load        float64
	policy      policy
	events      []event
	coldServers []int
}

// limitPolicies returns the policies to compare, which differ only in the limit of the side processes.
func limitPolicies() []policy {
	var policies []policy
	for _, kind := range []limitKind{limitMax, limitRamp, limitKnown, limitAdaptive} {
		p := routerPolicy()
		p.limit = kind
		p.name = string(kind)
		policies = append(policies, p)
	}
	return policies
}

// ColdStart measures cold servers that join during a surge, and warm servers that turn cold without warning.
func ColdStart(options lavreport.Options) ([]lavreport.Row, error) {
	f := serverPool()
	rate := capacity(f, unitRate(options.Seed))
	coldServers := []int{0, 1, 2, 3}
	var cases []coldCase
	for _, p := range limitPolicies() {
		cases = append(cases, coldCase{"4 of 12 join cold", joinLoad, p, []event{{0, removeServers(coldServers)}, {joinAt, addServers(coldServers)}}, coldServers})
	}
	for _, p := range limitPolicies() {
		cases = append(cases, coldCase{"4 of 12 turn cold", turnColdLoad, p, []event{{joinAt, turnCold(coldServers)}}, coldServers})
	}
	rows := iter.Map(cases, func(c *coldCase) lavreport.Row {
		return measureCold(*c, f, rate, options.Seed)
	})
	return rows, nil
}

// measureCold sums coldRepeats runs of a case into a row.
func measureCold(c coldCase, f fleet, rate float64, seed uint64) lavreport.Row {
	crashes, full, worst := 0, 0.0, 0
	sum := newResult()
	for repeat := range uint64(coldRepeats) {
		r := coldRun(c, f, rate, seed+repeat)
		crashed := 0
		for _, s := range r.servers {
			crashed += s.engine.crashes
		}
		crashes += crashed
		worst = max(worst, crashed)
		full += r.timeToFullUse(c.coldServers) / coldRepeats
		sum.accounts[int(repeat)] = r.result.total()
	}
	t := sum.total()
	row := lavreport.Row{
		Measure: "cold start (direct)", Case: c.name, Policy: c.policy.name, Seed: seed, Verdict: lavreport.Baseline,
		Figures: []lavreport.Figure{
			lavreport.Number("falls in 5 runs", float64(crashes), 0),
			lavreport.Number("worst run", float64(worst), 0),
			lavreport.Number("full use s", full, 1),
			lavreport.Number("first p95 ms", millis(quantile(t.first, p95)), 0),
			lavreport.Number("between p95 ms", millis(quantile(t.between, p95)), 1),
			lavreport.Number("good %", percent(t.good, t.offered), 1),
			lavreport.Number("failed %", percent(t.failed, t.offered), 2),
		},
	}
	if c.policy.limit == limitAdaptive {
		row.Aim = "no server above what it bears"
		row.Verdict = lavreport.Judge(crashes == 0)
	}
	return row
}

// coldRun simulates a case with one seed. It measures the requests that arrive from joinAt on.
func coldRun(c coldCase, f fleet, rate float64, seed uint64) *run {
	w := workload{
		phases:       []phase{{calmLength, calmLoad * rate}, {surgeLength + calmLength, c.load * rate}},
		accountRates: []float64{1, 1, 1, 1}, prefixes: prefixCount, seed: seed,
	}
	r := newRun(c.policy, f, seed, c.events...)
	r.result.from = epoch.Add(joinAt)
	r.simulate(w)
	return r
}

// removeServers returns an event that takes servers out of the configuration.
func removeServers(indexes []int) func(*run, time.Time) {
	return func(r *run, _ time.Time) {
		for _, i := range indexes {
			r.servers[i].outOfService = true
			r.setConfigured(r.servers[i], false)
		}
	}
}

// addServers returns an event that starts servers cold and adds them to the configuration.
func addServers(indexes []int) func(*run, time.Time) {
	return func(r *run, now time.Time) {
		for _, i := range indexes {
			s := r.servers[i]
			s.outOfService = false
			s.startedAt = now
			s.engine.turnCold(now)
			s.limiter.Restart(now)
			r.setConfigured(s, true)
		}
	}
}

// turnCold returns an event that turns engines cold without notice to their side processes.
func turnCold(indexes []int) func(*run, time.Time) {
	return func(r *run, now time.Time) {
		for _, i := range indexes {
			r.servers[i].engine.turnCold(now)
		}
	}
}

// setConfigured sets on every entry host whether a server is in the configuration.
func (r *run) setConfigured(s *server, configured bool) {
	for _, e := range r.entries {
		e.viewOf(s).notConfigured = !configured
	}
}

// timeToFullUse returns the mean number of seconds from joining until a server reaches fullUseShare of its later
// throughput.
func (r *run) timeToFullUse(indexes []int) float64 {
	begin := int(joinAt / time.Second)
	last := int((2*calmLength + surgeLength) / time.Second)
	sum := 0.0
	for _, i := range indexes {
		tokens := r.servers[i].bySecond
		later := 0
		for second := last - laterSeconds; second < last; second++ {
			later += tokens[second]
		}
		full := begin
		for full < last && float64(tokens[full]) < fullUseShare*float64(later)/laterSeconds {
			full++
		}
		sum += float64(full - begin)
	}
	return sum / float64(len(indexes))
}
