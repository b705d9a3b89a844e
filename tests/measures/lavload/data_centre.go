package lavload

import (
	"time"

	"github.com/sourcegraph/conc/iter"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/tests/measures/lavreport"
)

const (
	leaveAt           = 20 * time.Second // time of the run at which the data centre is taken out
	returnAt          = 45 * time.Second // time of the run at which the data centre returns
	dataCentreLoad    = 0.6              // request rate relative to the capacity
	dataCentreRunTime = 80 * time.Second
	// propagationTime is the longest time until a simulated host adopts a new configuration.
	propagationTime = 2 * time.Second
	// stopTarget is the time within which an evacuated data centre must receive no new work.
	stopTarget = 4 * time.Second
	// recoveryFactor times the p95 before the outage is the limit below which latency counts as recovered.
	recoveryFactor = 1.5
	// recoveryTarget is the time after the return within which latency must recover.
	recoveryTarget = 10 * time.Second
	// referenceStart is the second of the run at which the reference period before the outage starts.
	referenceStart = 5
)

// DataCentre measures one of three data centres that is taken out under load and returns with cold servers.
func DataCentre(options lavreport.Options) ([]lavreport.Row, error) {
	f := serverPool()
	rate := capacity(f, unitRate(options.Seed))
	configOnly := routerPolicy()
	configOnly.name, configOnly.ramp, configOnly.limit = "configuration only", false, limitMax
	noRamp := routerPolicy()
	noRamp.name, noRamp.ramp = "no ramp", false
	policies := []policy{configOnly, noRamp, routerPolicy()}
	rows := iter.Map(policies, func(p *policy) lavreport.Row {
		return measureDataCentre(*p, f, rate, options.Seed)
	})
	return rows, nil
}

func measureDataCentre(p policy, f fleet, rate float64, seed uint64) lavreport.Row {
	w := workload{phases: []phase{{dataCentreRunTime, dataCentreLoad * rate}}, accountRates: []float64{1, 1, 1, 1}, prefixes: prefixCount, seed: seed}
	r := newRun(p, f, seed, dataCentreEvents(f, p)...)
	r.result.from = epoch.Add(leaveAt)
	t := r.simulate(w).total()
	crashes := 0
	for _, s := range r.servers {
		crashes += s.engine.crashes
	}
	stop := r.timeOfLastNewWork(dataCentreID(0))
	normal := r.result.recoveryTime()
	row := lavreport.Row{
		Measure: "data centre (direct)", Case: "1 of 3 out at 0.6x, back cold", Policy: p.name, Seed: seed, Verdict: lavreport.Baseline,
		Figures: []lavreport.Figure{
			lavreport.Number("new work stopped s", stop.Seconds(), 2),
			lavreport.Number("lost", float64(t.failed), 0),
			lavreport.Number("refused %", percent(t.refused, t.offered), 2),
			lavreport.Number("falls", float64(crashes), 0),
			lavreport.Number("first p95 ms", millis(quantile(t.first, p95)), 0),
			lavreport.Number("good %", percent(t.good, t.offered), 1),
			lavreport.Number("normal after return s", normal.Seconds(), 0),
		},
	}
	if p.name == routerPolicy().name {
		row.Aim = "stops in 4 s, none lost, normal in 10 s"
		row.Verdict = lavreport.Judge(stop <= stopTarget && t.failed == 0 && normal <= recoveryTarget)
	}
	return row
}

// dataCentreEvents returns the events that take the first data centre out and back in. Each change reaches the entry hosts
// one after another within propagationTime. Side processes with the adaptive limit also refuse work during the outage.
func dataCentreEvents(f fleet, p policy) []event {
	var events []event
	for i := range f.entries {
		delay := propagationTime * time.Duration(i+1) / time.Duration(f.entries)
		events = append(events, event{leaveAt + delay, setOutOfService(i, dataCentreID(0), true)})
	}
	if p.limit == limitAdaptive {
		events = append(events, event{leaveAt + propagationTime/time.Duration(f.entries), refuseAtDataCentre(dataCentreID(0))})
	}
	events = append(events, event{returnAt, restartDataCentre(dataCentreID(0))})
	for i := range f.entries {
		delay := propagationTime * time.Duration(i+1) / time.Duration(f.entries)
		events = append(events, event{returnAt + delay, setOutOfService(i, dataCentreID(0), false)})
	}
	sortEvents(events)
	return events
}

// setOutOfService returns an event that applies the state of a data centre to the configuration of one entry host.
func setOutOfService(index int, id lavid.DataCentreID, out bool) func(*run, time.Time) {
	return func(r *run, now time.Time) {
		e := r.entries[index]
		e.outOfService[id] = out
		if !out {
			e.returnedAt[id] = now
		}
	}
}

// refuseAtDataCentre returns an event after which all servers of a data centre refuse requests.
func refuseAtDataCentre(id lavid.DataCentreID) func(*run, time.Time) {
	return func(r *run, _ time.Time) {
		for _, s := range r.servers {
			s.outOfService = s.outOfService || s.dataCentre == id
		}
	}
}

// restartDataCentre returns an event that starts all servers of a data centre cold.
func restartDataCentre(id lavid.DataCentreID) func(*run, time.Time) {
	return func(r *run, now time.Time) {
		for _, s := range r.servers {
			if s.dataCentre != id {
				continue
			}
			s.outOfService = false
			s.startedAt = now
			s.engine.turnCold(now)
			s.limiter.Restart(now)
		}
	}
}

// timeOfLastNewWork returns how long after the start of the outage the data centre last received work, or zero if it
// received none.
func (r *run) timeOfLastNewWork(id lavid.DataCentreID) time.Duration {
	last := time.Duration(0)
	for _, s := range r.servers {
		if s.dataCentre == id && s.lastWorkSinceLeave > last {
			last = s.lastWorkSinceLeave
		}
	}
	return last
}

// recoveryTime returns how long after the return of the data centre the p95 last exceeded its limit, or zero if it never
// did.
func (r *result) recoveryTime() time.Duration {
	before := quantile(r.samplesBetween(referenceStart, int(leaveAt/time.Second)), p95)
	limit := time.Duration(recoveryFactor * float64(before))
	last := int(returnAt / time.Second)
	for second := last; second+percentileWindow <= int(dataCentreRunTime/time.Second); second++ {
		if quantile(r.samplesBetween(second, second+percentileWindow), p95) > limit {
			last = second + 1
		}
	}
	return time.Duration(last)*time.Second - returnAt
}

// percentileWindow is the number of seconds over which each percentile is computed.
const percentileWindow = 3

// samplesBetween returns the times to first token of the requests that arrived in a range of seconds.
func (r *result) samplesBetween(from, until int) []time.Duration {
	var samples []time.Duration
	for second := from; second < until; second++ {
		samples = append(samples, r.bySecond[second]...)
	}
	return samples
}
