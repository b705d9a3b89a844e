package lavload

import (
	"time"

	"github.com/sourcegraph/conc/iter"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/tests/measures/lavreport"
)

const (
	leaveAt    = 20 * time.Second
	returnAt   = 45 * time.Second
	centreLoad = 0.6
	centreRun  = 80 * time.Second
	// spreadTime is the longest time that a host takes to learn a configuration in these runs.
	spreadTime = 2 * time.Second
	// stopAim is how soon new work has to stop.
	stopAim = 4 * time.Second
	// normalFactor times the earlier p95 counts as normal again.
	normalFactor = 1.5
	normalAim    = 10 * time.Second
)

// DataCentre measures one of three data centres leaving under load and returning with cold servers.
func DataCentre(options lavreport.Options) ([]lavreport.Row, error) {
	f := poolOfServers()
	rate := capacity(f, unitRate(options.Seed))
	configOnly := whole()
	configOnly.name, configOnly.ramp, configOnly.limit = "configuration only", false, limitMax
	noRamp := whole()
	noRamp.name, noRamp.ramp = "no ramp", false
	policies := []policy{configOnly, noRamp, whole()}
	rows := iter.Map(policies, func(p *policy) lavreport.Row {
		return measureCentre(*p, f, rate, options.Seed)
	})
	return rows, nil
}

func measureCentre(p policy, f fleet, rate float64, seed uint64) lavreport.Row {
	w := workload{phases: []phase{{centreRun, centreLoad * rate}}, accountRates: []float64{1, 1, 1, 1}, prefixes: prefixCount, seed: seed}
	r := newRun(p, f, seed, centreEvents(f, p)...)
	r.result.from = epoch.Add(leaveAt)
	t := r.simulate(w).total()
	falls := 0
	for _, s := range r.servers {
		falls += s.engine.falls
	}
	stop := r.lastWork(centre(0))
	normal := r.result.timeToNormal()
	row := lavreport.Row{
		Measure: "data centre (direct)", Case: "1 of 3 out at 0.6x, back cold", Policy: p.name, Seed: seed, Verdict: lavreport.Baseline,
		Figures: []lavreport.Figure{
			lavreport.Number("new work stopped s", stop.Seconds(), 2),
			lavreport.Number("lost", float64(t.failed), 0),
			lavreport.Number("refused %", percent(t.refused, t.offered), 2),
			lavreport.Number("falls", float64(falls), 0),
			lavreport.Number("first p95 ms", millis(quantile(t.first, tail)), 0),
			lavreport.Number("good %", percent(t.good, t.offered), 1),
			lavreport.Number("normal after return s", normal.Seconds(), 0),
		},
	}
	if p.name == whole().name {
		row.Aim = "stops in 4 s, none lost, normal in 10 s"
		row.Verdict = lavreport.Judge(stop <= stopAim && t.failed == 0 && normal <= normalAim)
	}
	return row
}

// centreEvents spreads each change over the hosts evenly within spreadTime; side processes learn it too.
func centreEvents(f fleet, p policy) []event {
	var events []event
	for i := range f.entries {
		delay := spreadTime * time.Duration(i+1) / time.Duration(f.entries)
		events = append(events, event{leaveAt + delay, setCentre(i, centre(0), true)})
	}
	if p.limit == limitAdaptive {
		events = append(events, event{leaveAt + spreadTime/time.Duration(f.entries), refuseAt(centre(0))})
	}
	events = append(events, event{returnAt, restartCentre(centre(0))})
	for i := range f.entries {
		delay := spreadTime * time.Duration(i+1) / time.Duration(f.entries)
		events = append(events, event{returnAt + delay, setCentre(i, centre(0), false)})
	}
	sortEvents(events)
	return events
}

func setCentre(index int, id lavid.DataCentreID, out bool) func(*run, time.Time) {
	return func(r *run, now time.Time) {
		e := r.entries[index]
		e.outCentres[id] = out
		if !out {
			e.returned[id] = now
		}
	}
}

func refuseAt(id lavid.DataCentreID) func(*run, time.Time) {
	return func(r *run, _ time.Time) {
		for _, s := range r.servers {
			s.out = s.out || s.dataCentre == id
		}
	}
}

func restartCentre(id lavid.DataCentreID) func(*run, time.Time) {
	return func(r *run, now time.Time) {
		for _, s := range r.servers {
			if s.dataCentre != id {
				continue
			}
			s.out = false
			s.started = now
			s.engine.turnCold(now)
			s.limiter.Restart(now)
		}
	}
}

// lastWork returns how long after the data centre left it was still given work.
func (r *run) lastWork(id lavid.DataCentreID) time.Duration {
	last := time.Duration(0)
	for _, s := range r.servers {
		if s.dataCentre == id && s.lastBefore > last {
			last = s.lastBefore
		}
	}
	return last
}

// timeToNormal returns how long after the return the p95 of a second stays above the earlier one.
func (r *result) timeToNormal() time.Duration {
	before := quantile(r.span(5, int(leaveAt/time.Second)), tail)
	limit := time.Duration(normalFactor * float64(before))
	last := int(returnAt / time.Second)
	for second := last; second+window <= int(centreRun/time.Second); second++ {
		if quantile(r.span(second, second+window), tail) > limit {
			last = second + 1
		}
	}
	return time.Duration(last)*time.Second - returnAt
}

// window is the number of seconds over which a percentile is taken.
const window = 3

func (r *result) span(from, until int) []time.Duration {
	var samples []time.Duration
	for second := from; second < until; second++ {
		samples = append(samples, r.bySecond[second]...)
	}
	return samples
}
