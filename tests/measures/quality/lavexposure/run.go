package lavexposure

import (
	"math/rand/v2"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
)

// servingShare is the part of requests of a version that was in service when it turned bad.
const servingShare = 0.5

// reportSteps is the delay from an event to the decision: one step to report and one to learn the decision.
const reportSteps = 2

// epoch is when each run starts.
var epoch = time.Date(2026, time.April, 1, 8, 0, 0, 0, time.UTC)

// exposure is what one run did under one policy.
type exposure struct {
	// bad counts answers of the new version that were bad, from the onset on.
	bad                float64
	stoppedBeforeOnset bool
	// excess counts those above what the old version would have given.
	excess  float64
	stopped int
	// answers counts answers of the new version over the whole run.
	answers float64
	// curve holds the bad answers so far, per second after the onset.
	curve []float64
}

const notStopped = -1

// driver runs one policy over one course.
type driver struct {
	timeline timeline
	policy   policy
	random   *rand.Rand
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

// learnPast reports answers from before the run, when nothing was wrong.
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

func (d *driver) historyVersions() []lavid.VersionID {
	if d.timeline.scenario.serving {
		return []lavid.VersionID{oldVersion, newVersion}
	}
	return []lavid.VersionID{oldVersion}
}

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
	if class >= fault.classes {
		d.exposure.excess += fault.failures + fault.rejection
	}
}

func (d *driver) sendReports(at int) {
	for version, classesOf := range d.reports[at] {
		for class, counts := range classesOf {
			if counts == (lavevidence.Counts{}) {
				continue
			}
			key := lavevidence.Key{Version: versions[version], Class: classes[class].id}
			d.policy.observe(lavevidence.Count{Key: key, Counts: counts})
		}
	}
}

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
