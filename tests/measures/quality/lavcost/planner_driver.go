package lavcost

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/core/services/lavplan"
)

const (
	tickInterval   = time.Second            // time between two planner ticks
	reportInterval = 250 * time.Millisecond // time between two evidence reports
	senderID       = lavid.HostID("entry-1")
)

// epoch is the time of the first request.
var epoch = time.Date(2026, time.April, 1, 8, 0, 0, 0, time.UTC)

// plannerDriver serves the requests of a workload with the plans of lavplan and feeds the ratings back.
type plannerDriver struct {
	workload     *workload
	document     *lavconfig.Document
	state        *lavplan.State
	evidence     *lavevidence.Table
	collector    *lavevidence.Collector
	random       *rand.Rand
	pending      pendingRatings
	versionIndex map[lavid.VersionID]int
	lastTick     time.Duration
	lastReport   time.Duration
}

func newPlannerDriver(w *workload, seed uint64, settings lavplan.Settings) *plannerDriver {
	evidence := lavevidence.NewTable(lavevidence.DefaultSettings())
	driver := &plannerDriver{
		workload:     w,
		document:     w.document(),
		state:        lavplan.NewState(settings, evidence),
		evidence:     evidence,
		collector:    lavevidence.NewCollector(0),
		random:       rand.New(rand.NewPCG(seed, 2)),
		versionIndex: make(map[lavid.VersionID]int),
	}
	for i, version := range w.versions {
		driver.versionIndex[version.id] = i
	}
	return driver
}

func (p *plannerDriver) run() *result {
	all := newResult(len(p.workload.accounts))
	for _, drawn := range p.workload.requests {
		p.advance(drawn.at)
		good, cost := p.serve(drawn)
		all.add(drawn, good, cost)
	}
	return all
}

// advance applies the ratings that have arrived, and runs the evidence report and the planner tick when they are due.
func (p *plannerDriver) advance(at time.Duration) {
	for len(p.pending) > 0 && p.pending[0].at <= at {
		rating, ok := heap.Pop(&p.pending).(pendingRating)
		if ok {
			p.rate(rating, epoch.Add(rating.at))
		}
	}
	if at-p.lastReport >= reportInterval {
		p.lastReport = at
		p.report(epoch.Add(at))
	}
	if at-p.lastTick >= tickInterval {
		p.lastTick = at
		p.state.Tick(p.document, epoch.Add(at))
	}
}

// report merges the collected counts into the evidence.
func (p *plannerDriver) report(now time.Time) {
	report, ok := p.collector.Next(senderID)
	if !ok {
		return
	}
	p.evidence.Merge(report, now)
	p.collector.Confirm(report.Number)
}

// serve runs the chosen plan on a request. good is the true quality of the delivered answer.
func (p *plannerDriver) serve(drawn request) (good bool, cost float64) {
	now := epoch.Add(drawn.at)
	account := p.workload.accounts[drawn.account].id
	class := p.workload.classes[drawn.class].id
	query := lavplan.Query{Account: account, Class: class, CanCheck: !drawn.raterDown}
	plan, _ := lavplan.Choose(p.document, p.state, query, p.random, now)
	key := lavevidence.Key{Class: class}
	for _, stage := range plan.Stages {
		key.Version = stage.Version
		version := p.versionIndex[stage.Version]
		answered := drawn.answers[version]
		price := p.workload.versions[version].cost(drawn.relativeLength)
		cost += price
		p.collector.Add(lavevidence.Count{Key: key, Counts: lavevidence.Counts{Answers: 1, Cost: lavid.NanoUnits(price)}})
		rating := p.check(drawn, stage, answered, &cost)
		p.scheduleRating(drawn, pendingRating{account: account, key: key, accepted: answered.accepted}, answered, rating, now)
		if rating == lavplan.RatedRejected {
			key.After = stage.Version
			continue
		}
		p.state.ObserveDelivery(p.document, lavplan.Delivery{Account: account, Key: key, Rating: rating}, now)
		return answered.good, cost
	}
	return false, cost
}

// check rates an answer before delivery if its stage requires it, and adds the cost of the check.
func (p *plannerDriver) check(drawn request, stage lavplan.Stage, answered answer, cost *float64) lavplan.Rating {
	if !stage.Checked {
		return lavplan.Unrated
	}
	*cost += checkCost
	switch {
	case !drawn.checkInTime:
		return lavplan.Unrated
	case answered.accepted:
		return lavplan.RatedAccepted
	default:
		return lavplan.RatedRejected
	}
}

// scheduleRating counts the rating immediately if the check before delivery returned one. Otherwise it schedules the late
// rating, unless that one is missing.
func (p *plannerDriver) scheduleRating(drawn request, rating pendingRating, answered answer, checkResult lavplan.Rating, now time.Time) {
	if checkResult != lavplan.Unrated {
		p.rate(rating, now)
		return
	}
	if answered.ratingMissing {
		return
	}
	rating.at = drawn.at + answered.ratingDelay
	heap.Push(&p.pending, rating)
}

// rate reports a rating to the evidence and to the planner.
func (p *plannerDriver) rate(rating pendingRating, now time.Time) {
	counts := lavevidence.Counts{Rated: 1}
	if rating.accepted {
		counts.Accepted = 1
	}
	p.collector.Add(lavevidence.Count{Key: rating.key, Counts: counts})
	p.state.ObserveRating(p.document, rating.account, rating.key, rating.accepted, now)
}

// pendingRating is a rating that arrives after delivery.
type pendingRating struct {
	// at is the time of arrival, counted from epoch.
	at       time.Duration
	account  lavid.AccountID
	key      lavevidence.Key
	accepted bool
}

// pendingRatings is a heap ordered by time of arrival.
type pendingRatings []pendingRating

// Len returns the number of ratings.
func (p pendingRatings) Len() int { return len(p) }

// Less reports whether rating i arrives before rating j.
func (p pendingRatings) Less(i, j int) bool { return p[i].at < p[j].at }

// Swap exchanges two ratings.
func (p pendingRatings) Swap(i, j int) { p[i], p[j] = p[j], p[i] }

// Push appends a rating.
func (p *pendingRatings) Push(value any) {
	if rating, ok := value.(pendingRating); ok {
		*p = append(*p, rating)
	}
}

// Pop removes and returns the last rating.
func (p *pendingRatings) Pop() any {
	last := len(*p) - 1
	rating := (*p)[last]
	*p = (*p)[:last]
	return rating
}
