package lavcost

import (
	"math"
	"math/rand/v2"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavplan"
)

const (
	requestCount  = 150_000
	requestGap    = 20 * time.Millisecond
	meanOutput    = 300
	meanInput     = 600
	checkCost     = 20_000
	checkMissing  = 0.05
	meanLateness  = 30 * time.Second
	inputDiscount = 4
	// worsening is what a version loses in ability where one becomes worse.
	worsening = 1.2
)

// versionTruth is what the system does not know of a version.
type versionTruth struct {
	id       lavid.VersionID
	ability  float64
	talent   map[lavid.TaskClass]float64
	price    lavid.NanoUnits
	expected lavid.Quality
}

// classTruth is what the system does not know of a task class.
type classTruth struct {
	id         lavid.TaskClass
	difficulty float64
	spread     float64
}

// accountTruth is what the system does not know of a client account, and its target.
type accountTruth struct {
	id     lavid.AccountID
	target lavid.Quality
	weight float64
	mix    []float64
	harder float64
}

// world is one seeded set of requests and the truth behind them.
type world struct {
	versions []versionTruth
	classes  []classTruth
	accounts []accountTruth
	rater    lavplan.RatingErrors
	scenario scenario
	requests []request
}

// phaseCount is how many parts of equal length a world has; conditions may change between them.
const phaseCount = 3

// ratings says how late ratings go missing.
type ratings struct {
	missingGood float64
	missingBad  float64
}

// request holds the outcome of every version on it.
type request struct {
	at      time.Duration
	account int
	class   int
	phase   int
	tokens  float64
	// checked says that a rating before delivery would come in time, and down that none can be asked for.
	checked bool
	down    bool
	answers []answer
}

type answer struct {
	good     bool
	accepted bool
	missing  bool
	late     time.Duration
}

func newWorld(seed uint64, conditions scenario) *world {
	w := &world{
		versions: []versionTruth{
			{id: "mini-1", ability: 1.2, price: 100, expected: 0.7, talent: map[lavid.TaskClass]float64{"lookup": 0.8}},
			{id: "base-2", ability: 2.2, price: 400, expected: 0.8},
			{id: "draft-1", ability: 2.4, price: 700, expected: 0.8, talent: map[lavid.TaskClass]float64{"dossier": 0.9, "lookup": -0.6}},
			{id: "large-3", ability: 3.6, price: 2400, expected: 0.9},
			{id: "expert-1", ability: 4.8, price: 9000, expected: 0.95},
		},
		classes: []classTruth{
			{id: "lookup", difficulty: -1.2, spread: 0.8},
			{id: "summary", difficulty: 0.2, spread: 1.4},
			{id: "dossier", difficulty: 1.4, spread: 1.6},
		},
		accounts: []accountTruth{
			{id: "norte", target: 0.85, weight: 4, mix: []float64{0.6, 0.3, 0.1}},
			{id: "sur", target: 0.90, weight: 3, mix: []float64{0.3, 0.5, 0.2}},
			{id: "costa", target: 0.93, weight: 2, mix: []float64{0.4, 0.3, 0.3}},
			{id: "sierra", target: 0.88, weight: 1, mix: []float64{0.2, 0.3, 0.5}, harder: 0.5},
		},
		rater:    lavplan.RatingErrors{FalseAccept: 0.05, FalseReject: 0.04},
		scenario: conditions,
	}
	random := rand.New(rand.NewPCG(seed, 1))
	for i := range requestCount {
		phase := i * phaseCount / requestCount
		w.requests = append(w.requests, w.draw(random, time.Duration(i)*requestGap, phase))
	}
	return w
}

func (w *world) draw(random *rand.Rand, at time.Duration, phase int) request {
	account := pick(random, w.accountWeights())
	class := pick(random, w.accounts[account].mix)
	drawn := request{at: at, account: account, class: class, phase: phase}
	drawn.tokens = 0.5 + random.Float64()
	drawn.checked = random.Float64() >= checkMissing
	drawn.down = w.scenario.outage && phase == 1
	difficulty := w.difficulty(random, account, class)
	for _, version := range w.versions {
		if phase > 0 && version.id == w.scenario.worsens {
			version.ability -= worsening
		}
		answered := w.answer(random, version, class, difficulty)
		answered.missing = answered.missing || drawn.down
		drawn.answers = append(drawn.answers, answered)
	}
	return drawn
}

func (w *world) difficulty(random *rand.Rand, account, class int) float64 {
	truth := w.classes[class]
	return truth.difficulty + w.accounts[account].harder + truth.spread*random.NormFloat64()
}

func (w *world) answer(random *rand.Rand, version versionTruth, class int, difficulty float64) answer {
	drawn := answer{good: random.Float64() < version.quality(w.classes[class].id, difficulty)}
	drawn.accepted = random.Float64() < float64(w.rater.FalseAccept)
	missing := w.scenario.ratings.missingBad
	if drawn.good {
		drawn.accepted = random.Float64() >= float64(w.rater.FalseReject)
		missing = w.scenario.ratings.missingGood
	}
	drawn.missing = random.Float64() < missing
	drawn.late = time.Duration(random.ExpFloat64() * float64(meanLateness))
	return drawn
}

func (v versionTruth) quality(class lavid.TaskClass, difficulty float64) float64 {
	return 1 / (1 + math.Exp(difficulty-v.ability-v.talent[class]))
}

// cost is the price of one answer of a version, in billionths.
func (v versionTruth) cost(tokens float64) float64 {
	perToken := float64(v.price)
	return tokens * (perToken*meanOutput + perToken/inputDiscount*meanInput)
}

func (w *world) accountWeights() []float64 {
	weights := make([]float64, 0, len(w.accounts))
	for _, account := range w.accounts {
		weights = append(weights, account.weight)
	}
	return weights
}

func pick(random *rand.Rand, weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	drawn := random.Float64() * total
	for i, weight := range weights {
		drawn -= weight
		if drawn < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// document returns the configuration that the system is given.
func (w *world) document() *lavconfig.Document {
	document := &lavconfig.Document{
		Number:         1,
		ClientAccounts: make(map[lavid.AccountID]lavconfig.ClientAccount),
		Versions:       make(map[lavid.VersionID]lavconfig.Version),
	}
	var all []lavid.VersionID
	for _, version := range w.versions {
		all = append(all, version.id)
		document.Versions[version.id] = lavconfig.Version{
			Model:           lavid.ModelID(version.id),
			State:           lavconfig.VersionServing,
			InputPrice:      version.price / inputDiscount,
			OutputPrice:     version.price,
			ExpectedQuality: version.expected,
		}
	}
	for _, account := range w.accounts {
		document.ClientAccounts[account.id] = lavconfig.ClientAccount{AllowedVersions: all, QualityTarget: account.target}
	}
	return document
}
