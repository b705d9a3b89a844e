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
	tickLength   = time.Second
	reportLength = 250 * time.Millisecond
	senderID     = lavid.HostID("entry-1")
)

// epoch is when the requests of a world start.
var epoch = time.Date(2026, time.April, 1, 8, 0, 0, 0, time.UTC)

// planned drives lavplan over the requests of a world.
type planned struct {
	world     *world
	document  *lavconfig.Document
	state     *lavplan.State
	evidence  *lavevidence.Table
	collector *lavevidence.Collector
	random    *rand.Rand
	due       dueRatings
	index     map[lavid.VersionID]int
	ticked    time.Duration
	reported  time.Duration
}

func newPlanned(w *world, seed uint64, settings lavplan.Settings) *planned {
	evidence := lavevidence.NewTable(lavevidence.DefaultSettings())
	driver := &planned{
		world:     w,
		document:  w.document(),
		state:     lavplan.NewState(settings, evidence),
		evidence:  evidence,
		collector: lavevidence.NewCollector(0),
		random:    rand.New(rand.NewPCG(seed, 2)),
		index:     make(map[lavid.VersionID]int),
	}
	for i, version := range w.versions {
		driver.index[version.id] = i
	}
	return driver
}

func (p *planned) run() *result {
	all := newResult(len(p.world.accounts))
	for _, drawn := range p.world.requests {
		p.advance(drawn.at)
		good, cost := p.serve(drawn)
		all.add(drawn, good, cost)
	}
	return all
}

// advance takes in the ratings that are due, reports counts and ticks.
func (p *planned) advance(at time.Duration) {
	for len(p.due) > 0 && p.due[0].at <= at {
		rating, ok := heap.Pop(&p.due).(dueRating)
		if ok {
			p.rate(rating, epoch.Add(rating.at))
		}
	}
	if at-p.reported >= reportLength {
		p.reported = at
		p.report(epoch.Add(at))
	}
	if at-p.ticked >= tickLength {
		p.ticked = at
		p.state.Tick(p.document, epoch.Add(at))
	}
}

func (p *planned) report(now time.Time) {
	report, ok := p.collector.Next(senderID)
	if !ok {
		return
	}
	p.evidence.Merge(report, now)
	p.collector.Confirm(report.Number)
}

func (p *planned) serve(drawn request) (good bool, cost float64) {
	now := epoch.Add(drawn.at)
	account := p.world.accounts[drawn.account].id
	class := p.world.classes[drawn.class].id
	query := lavplan.Query{Account: account, Class: class, CanCheck: !drawn.down}
	plan, _ := lavplan.Choose(p.document, p.state, query, p.random, now)
	key := lavevidence.Key{Class: class}
	for _, stage := range plan.Stages {
		key.Version = stage.Version
		version := p.index[stage.Version]
		answered := drawn.answers[version]
		price := p.world.versions[version].cost(drawn.tokens)
		cost += price
		p.collector.Add(lavevidence.Count{Key: key, Counts: lavevidence.Counts{Answers: 1, Cost: lavid.NanoUnits(price)}})
		rating := p.check(drawn, stage, answered, &cost)
		p.settle(drawn, dueRating{account: account, key: key, accepted: answered.accepted}, answered, rating, now)
		if rating == lavplan.RatedRejected {
			key.After = stage.Version
			continue
		}
		p.state.ObserveDelivery(p.document, lavplan.Delivery{Account: account, Key: key, Rating: rating}, now)
		return answered.good, cost
	}
	return false, cost
}

// check rates an answer before delivery when its stage asks for it.
func (p *planned) check(drawn request, stage lavplan.Stage, answered answer, cost *float64) lavplan.Rating {
	if !stage.Checked {
		return lavplan.Unrated
	}
	*cost += checkCost
	switch {
	case !drawn.checked:
		return lavplan.Unrated
	case answered.accepted:
		return lavplan.RatedAccepted
	default:
		return lavplan.RatedRejected
	}
}

// settle counts a rating at once when it is known, and otherwise when it comes in late, if it does.
func (p *planned) settle(drawn request, rating dueRating, answered answer, known lavplan.Rating, now time.Time) {
	if known != lavplan.Unrated {
		p.rate(rating, now)
		return
	}
	if answered.missing {
		return
	}
	rating.at = drawn.at + answered.late
	heap.Push(&p.due, rating)
}

func (p *planned) rate(rating dueRating, now time.Time) {
	counts := lavevidence.Counts{Rated: 1}
	if rating.accepted {
		counts.Accepted = 1
	}
	p.collector.Add(lavevidence.Count{Key: rating.key, Counts: counts})
	p.state.ObserveRating(p.document, rating.account, rating.key, rating.accepted, now)
}

// dueRating is a rating that comes in later.
type dueRating struct {
	at       time.Duration
	account  lavid.AccountID
	key      lavevidence.Key
	accepted bool
}

// dueRatings is a heap, earliest first.
type dueRatings []dueRating

// Len returns the number of ratings.
func (d dueRatings) Len() int { return len(d) }

// Less orders ratings by time.
func (d dueRatings) Less(i, j int) bool { return d[i].at < d[j].at }

// Swap exchanges two ratings.
func (d dueRatings) Swap(i, j int) { d[i], d[j] = d[j], d[i] }

// Push adds a rating.
func (d *dueRatings) Push(value any) {
	if rating, ok := value.(dueRating); ok {
		*d = append(*d, rating)
	}
}

// Pop removes the last rating.
func (d *dueRatings) Pop() any {
	last := len(*d) - 1
	rating := (*d)[last]
	*d = (*d)[:last]
	return rating
}
