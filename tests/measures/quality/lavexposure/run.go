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
	bad   float64
	early bool
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
	course  course
	policy  policy
	random  *rand.Rand
	reports [][versionCount][classCount]lavevidence.Counts
	found   exposure
}

func runOne(run course, policy policy) exposure {
	d := &driver{course: run, policy: policy, random: rand.New(rand.NewPCG(run.seed, 4))}
	d.reports = make([][versionCount][classCount]lavevidence.Counts, runSteps)
	d.found.stopped = notStopped
	d.learnPast()
	for at := range runSteps {
		d.step(at)
	}
	return d.found
}

// learnPast reports answers from before the run, when nothing was wrong.
func (d *driver) learnPast() {
	usual := d.course
	usual.onset, usual.storm = runSteps, [2]int{}
	counts := make(map[lavevidence.Key]lavevidence.Counts)
	for range pastRequests {
		for _, version := range d.pastVersions() {
			class := usual.class(d.random, runSteps)
			key := lavevidence.Key{Version: version, Class: classes[class].id}
			counts[key] = counts[key].Plus(countsOf(usual.answer(d.random, version, class, 0)))
		}
	}
	const portions = 100
	for range portions {
		for _, class := range classes {
			for _, version := range d.pastVersions() {
				key := lavevidence.Key{Version: version, Class: class.id}
				d.policy.observe(lavevidence.Count{Key: key, Counts: counts[key].Scaled(1.0 / portions)})
			}
		}
		d.policy.share(epoch)
	}
}

func (d *driver) pastVersions() []lavid.VersionID {
	if d.course.scenario.serving {
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

func (d *driver) step(at int) {
	d.sendReports(at)
	share := d.policy.share(epoch.Add(time.Duration(at) * step))
	if share == 0 && d.found.stopped == notStopped {
		d.found.stopped = at
		d.found.early = at < d.course.onset
	}
	for range poisson(d.random, d.course.rate(at)*step.Seconds()) {
		d.serve(at, float64(share))
	}
	if at >= d.course.onset && (at-d.course.onset)%int(time.Second/step) == 0 {
		d.found.curve = append(d.found.curve, d.found.bad)
	}
}

func (d *driver) serve(at int, share float64) {
	version := oldVersion
	if d.random.Float64() < share {
		version = newVersion
	}
	class := d.course.class(d.random, at)
	drawn := d.course.answer(d.random, version, class, at)
	d.reportAnswer(version, class, drawn, at)
	if version != newVersion {
		return
	}
	d.found.answers++
	if at < d.course.onset {
		return
	}
	if !drawn.good {
		d.found.bad++
	}
	fault := d.course.scenario.fault
	if class >= fault.classes {
		d.found.excess += fault.failures + fault.rejection
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
	d.report(at+int(answerTime/step)+reportSteps, version, class, first)
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
