package lavexposure

import (
	"math"
	"math/rand/v2"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

const (
	stepInterval    = 250 * time.Millisecond
	runLength       = 10 * time.Minute
	runSteps        = int(runLength / stepInterval)
	baseRate        = 20.0  // requests per second outside a load burst
	burstRate       = 120.0 // requests per second in a load burst
	answerTime      = 2 * time.Second
	meanRatingDelay = 10 * time.Second
	ratedShare      = 0.5  // share of the answers that get a rating
	falseAccept     = 0.05 // probability that a bad answer is accepted
	falseReject     = 0.04 // probability that a good answer is rejected
	maxShare        = 0.2  // share of the requests that a version under roll-out may receive
	baseFailureRate = 0.01 // failure rate of a healthy version
	burstFailures   = 0.05 // additional failure rate of every version in a failure burst
	maxQuality      = 0.99 // highest probability of a good answer
	maxQualityGain  = 0.03 // largest quality gain of a good new version
	maxHardGrowth   = 0.2  // largest growth of the share of the hardest class in a load burst
	// historyRequests is the number of requests that each version in service answered before the run.
	historyRequests = 20_000
)

const (
	oldVersion = lavid.VersionID("base-1")
	newVersion = lavid.VersionID("base-2")
)

const (
	versionCount = 2
	classCount   = 3
)

var versions = [versionCount]lavid.VersionID{oldVersion, newVersion}

// fault is the increase of the failure and rejection rates of a version that turns bad.
type fault struct {
	failures  float64
	rejection float64
	// firstClass is the index of the first task class that the fault affects; zero affects all.
	firstClass int
}

// scenario describes a new version: good, or bad with a certain fault.
type scenario struct {
	name  string
	fault fault
	// serving means that the version is in service; otherwise it is being rolled out.
	serving bool
	// fromStart means that the fault is present from the first answer.
	fromStart bool
	// good means that the version has no fault.
	good bool
}

// classes holds the task classes, easiest first, with the probability of a good answer of a healthy version and the share of
// the requests outside a load burst.
var classes = [classCount]struct {
	id      lavid.TaskClass
	quality float64
	share   float64
}{
	{"lookup", 0.95, 0.5},
	{"summary", 0.88, 0.3},
	{"dossier", 0.75, 0.2},
}

// timeline holds the random conditions of one run, which are the same for every policy.
type timeline struct {
	scenario scenario
	// onset is the step at which the fault begins, or runSteps for a good version.
	onset int
	// loadBurst holds the first step of the load burst and the first step after it.
	loadBurst [2]int
	// qualityGain is how much better a good new version is than the one that it replaces.
	qualityGain float64
	// failureBurst holds the first step, and the first step after, of the period in which answers of all versions fail more
	// often.
	failureBurst [2]int
	// hardClassGrowth, between 0 and 1, scales the growth of the hardest class in a load burst.
	hardClassGrowth float64
	seed            uint64
}

// newTimeline draws the conditions of a run.
func newTimeline(conditions scenario, seed uint64) timeline {
	random := rand.New(rand.NewPCG(seed, 3))
	run := timeline{scenario: conditions, seed: seed}
	start := random.IntN(runSteps / 3)
	run.loadBurst = [2]int{start, start + runSteps/2}
	run.onset = start + random.IntN(runSteps/3)
	if conditions.fromStart {
		run.onset = 0
	}
	if conditions.good {
		run.onset = runSteps
		run.qualityGain = random.Float64() * maxQualityGain * float64(random.IntN(2))
	}
	failureBurst := random.IntN(runSteps)
	run.failureBurst = [2]int{failureBurst, failureBurst + runSteps/20}
	run.hardClassGrowth = random.Float64()
	return run
}

// rate returns the requests per second at a step.
func (t timeline) rate(at int) float64 {
	if at >= t.loadBurst[0] && at < t.loadBurst[1] {
		return burstRate
	}
	return baseRate
}

// class draws a task class. The hardest class is more frequent during a load burst.
func (t timeline) class(random *rand.Rand, at int) int {
	hard := classes[2].share
	if at >= t.loadBurst[0] && at < t.loadBurst[1] {
		hard += maxHardGrowth * t.hardClassGrowth
	}
	drawn := random.Float64()
	switch {
	case drawn < hard:
		return 2
	case drawn < hard+classes[1].share:
		return 1
	default:
		return 0
	}
}

// outcome is the outcome of one answer, including its later rating.
type outcome struct {
	failed   bool
	good     bool
	rated    bool
	accepted bool
	ratedAt  int // step at which the rating arrives
}

// answer draws the outcome of a version on a request of a class.
func (t timeline) answer(random *rand.Rand, version lavid.VersionID, class, at int) outcome {
	failures, quality := baseFailureRate, classes[class].quality
	if at >= t.failureBurst[0] && at < t.failureBurst[1] {
		failures += burstFailures
	}
	if version == newVersion {
		quality = min(quality+t.qualityGain, maxQuality)
	}
	if version == newVersion && at >= t.onset && class >= t.scenario.fault.firstClass {
		failures += t.scenario.fault.failures
		quality -= t.scenario.fault.rejection
	}
	drawn := outcome{failed: random.Float64() < failures}
	drawn.good = !drawn.failed && random.Float64() < quality
	drawn.rated = !drawn.failed && random.Float64() < ratedShare
	drawn.accepted = random.Float64() < falseAccept
	if drawn.good {
		drawn.accepted = random.Float64() >= falseReject
	}
	late := answerTime + time.Duration(random.ExpFloat64()*float64(meanRatingDelay))
	drawn.ratedAt = at + int(late/stepInterval)
	return drawn
}

// poisson draws a Poisson-distributed number, here the requests that arrive in one step.
func poisson(random *rand.Rand, mean float64) int {
	limit, product, count := math.Exp(-mean), random.Float64(), 0
	for product > limit {
		product *= random.Float64()
		count++
	}
	return count
}

// document returns the configuration with the new version in service or under roll-out.
func document(serving bool) *lavconfig.Document {
	state, replaces := lavconfig.VersionRollingOut, oldVersion
	if serving {
		state, replaces = lavconfig.VersionServing, ""
	}
	return &lavconfig.Document{
		Number: 1,
		ClientAccounts: map[lavid.AccountID]lavconfig.ClientAccount{
			"norte": {AllowedVersions: []lavid.VersionID{oldVersion, newVersion}},
		},
		Versions: map[lavid.VersionID]lavconfig.Version{
			oldVersion: {Model: "base", State: lavconfig.VersionServing, ExpectedQuality: 0.88},
			newVersion: {Model: "base", State: state, MaxShare: maxShare, Replaces: replaces, ExpectedQuality: 0.88},
		},
	}
}
