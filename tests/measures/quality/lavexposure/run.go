package lavexposure

import (
	"math/rand/v2"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
)

// servingShare is the share of requests that a version in service receives.
const servingShare = 0.5

// reportSteps is the delay from an event to the decision: one step to report the counts and one to receive the decision.
const reportSteps = 2

// epoch is the start time of each run.
var epoch = time.Date(2026, time.April, 1, 8, 0, 0, 0, time.UTC)

// exposure is the result of one run under one policy.
type exposure struct {
	// bad counts the bad answers of the new version after the onset.
	bad                float64
	stoppedBeforeOnset bool
	// excess is the expected number of bad answers that are due to the fault.
	excess float64
	// stopped is the step at which the version was stopped, or notStopped.
	stopped int
	// answers counts the answers of the new version in the whole run.
	answers float64
	// curve holds the cumulative number of bad answers for each second after the onset.
	curve []float64
}

// notStopped is the value of exposure.stopped for a version that was never stopped.
const notStopped = -1

// driver runs one policy on one timeline.
type driver struct {
	timeline timeline
	policy   policy
	random   *rand.Rand
	// reports holds the counts that are delivered at each step, by version and task class.
	reports  [][versionCount][classCount]lavevidence.Counts
	exposure exposure
}

func runPolicy(run timeline, policy policy) exposure {
	d := &driver{timeline: run, policy: policy, random: rand.New(rand.NewPCG(run.seed, 4))}
	d.reports = make([][versionCount][classCount]lavevidence.Counts, runSteps)
	d.exposure.stopped = notStopped
	d.reportHistory()
	for at := range runSteps {
		d.advance(at)
	}
	return d.exposure
}

// reportHistory reports the answers of healthy versions from before the run.
func (d *driver) reportHistory() {
	healthy := d.timeline
	healthy.onset, healthy.failureBurst = runSteps, [2]int{}
	counts := make(map[lavevidence.Key]lavevidence.Counts)
	for range historyRequests {
		for _, version := range d.historyVersions() {
			class := healthy.class(d.random, runSteps)
			key := lavevidence.Key{Version: version, Class: classes[class].id}
			counts[key] = counts[key].Plus(countsOf(healthy.answer(d.random, version, class, 0)))
		}
	}
	// The counts are reported in portions, with a decision of the policy after each round.
	const portions = 100
	for range portions {
		for _, class := range classes {
			for _, version := range d.historyVersions() {
				key := lavevidence.Key{Version: version, Class: class.id}
				d.policy.observe(lavevidence.Count{Key: key, Counts: counts[key].Scaled(1.0 / portions)})
			}
		}
		d.policy.share(epoch)
	}
}

// historyVersions returns the versions that were in service before the run.
func (d *driver) historyVersions() []lavid.VersionID {
	if d.timeline.scenario.serving {
		return []lavid.VersionID{oldVersion, newVersion}
	}
	return []lavid.VersionID{oldVersion}
}

// countsOf returns the counts of an answer together with its rating.
func countsOf(drawn outcome) lavevidence.Counts {
	if drawn.failed {
		return lavevidence.Counts{Failed: 1}
	}
	counts := lavevidence.Counts{Answers: 1}
	if drawn.rated {
		counts.Rated = 1
	}
	if drawn.rated && drawn.accepted {
		counts.Accepted = 1
	}
	return counts
}

// advance simulates one step: it delivers reports, applies the policy and serves the requests that arrive.
func (d *driver) advance(at int) {
	d.sendReports(at)
	share := d.policy.share(epoch.Add(time.Duration(at) * stepInterval))
	if share == 0 && d.exposure.stopped == notStopped {
		d.exposure.stopped = at
		d.exposure.stoppedBeforeOnset = at < d.timeline.onset
	}
	for range poisson(d.random, d.timeline.rate(at)*stepInterval.Seconds()) {
		d.serve(at, float64(share))
	}
	if at >= d.timeline.onset && (at-d.timeline.onset)%int(time.Second/stepInterval) == 0 {
		d.exposure.curve = append(d.exposure.curve, d.exposure.bad)
	}
}

// serve routes one request to a version and counts the answer if it comes from the new version.
func (d *driver) serve(at int, share float64) {
	version := oldVersion
	if d.random.Float64() < share {
		version = newVersion
	}
	class := d.timeline.class(d.random, at)
	drawn := d.timeline.answer(d.random, version, class, at)
	d.reportAnswer(version, class, drawn, at)
	if version != newVersion {
		return
	}
	d.exposure.answers++
	if at < d.timeline.onset {
		return
	}
	if !drawn.good {
		d.exposure.bad++
	}
	fault := d.timeline.scenario.fault
	if class >= fault.firstClass {
		d.exposure.excess += fault.failures + fault.rejection
	}
}

// sendReports delivers the counts that are due at a step.
func (d *driver) sendReports(at int) {
	for version, byClass := range d.reports[at] {
		for class, counts := range byClass {
			if counts == (lavevidence.Counts{}) {
				continue
			}
			key := lavevidence.Key{Version: versions[version], Class: classes[class].id}
			d.policy.observe(lavevidence.Count{Key: key, Counts: counts})
		}
	}
}

// reportAnswer schedules the reports of an answer and of its rating.
func (d *driver) reportAnswer(version lavid.VersionID, class int, drawn outcome, at int) {
	first := lavevidence.Counts{Answers: 1}
	if drawn.failed {
		first = lavevidence.Counts{Failed: 1}
	}
	d.report(at+int(answerTime/stepInterval)+reportSteps, version, class, first)
	if !drawn.rated {
		return
	}
	second := lavevidence.Counts{Rated: 1}
	if drawn.accepted {
		second.Accepted = 1
	}
	d.report(drawn.ratedAt+reportSteps, version, class, second)
}

// report adds counts to those that are delivered at a later step, if that step is within the run.
func (d *driver) report(at int, version lavid.VersionID, class int, counts lavevidence.Counts) {
	if at >= runSteps {
		return
	}
	index := 0
	if version == newVersion {
		index = 1
	}
	d.reports[at][index][class] = d.reports[at][index][class].Plus(counts)
}
