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
	requestCount     = 150_000
	requestInterval  = 20 * time.Millisecond
	meanOutput       = 300    // tokens per answer
	meanInput        = 600    // tokens per prompt
	checkCost        = 20_000 // price of a rating before delivery, in billionths of the currency unit
	checkMissingRate = 0.05   // probability that a rating before delivery is not in time
	meanRatingDelay  = 30 * time.Second
	outputPriceRatio = 4 // ratio of the output price to the input price
	// abilityLoss is subtracted from the ability of a degraded version.
	abilityLoss = 1.2
)

// versionTruth holds the true properties of a version, which are hidden from the planner. ability and classBonus are on the
// same scale as the difficulty of a request.
type versionTruth struct {
	id         lavid.VersionID
	ability    float64
	classBonus map[lavid.TaskClass]float64
	price      lavid.NanoUnits // per output token
	expected   lavid.Quality
}

// classTruth holds the true properties of a task class, which are hidden from the planner. The difficulty of its requests is
// normally distributed with mean difficulty and standard deviation spread.
type classTruth struct {
	id         lavid.TaskClass
	difficulty float64
	spread     float64
}

// accountTruth holds the quality target of a client account and its true request mix, which is hidden from the planner.
type accountTruth struct {
	id              lavid.AccountID
	target          lavid.Quality
	weight          float64
	classWeights    []float64
	extraDifficulty float64
}

// workload is a seeded set of requests together with the true properties that determine their outcomes.
type workload struct {
	versions []versionTruth
	classes  []classTruth
	accounts []accountTruth
	rater    lavplan.RatingErrors
	scenario scenario
	requests []request
}

// phaseCount is the number of phases of equal length; conditions may change between phases.
const phaseCount = 3

// ratingLoss holds the probability that the late rating of a good or bad answer is missing.
type ratingLoss struct {
	missingRateGood float64
	missingRateBad  float64
}

// request is a request with the outcome that every version would have on it.
type request struct {
	// at is the time of arrival, counted from epoch.
	at      time.Duration
	account int
	class   int
	phase   int
	// relativeLength is the number of tokens of the request relative to the mean.
	relativeLength float64
	// checkInTime means that a rating check before delivery would finish in time; raterDown means that no check is
	// possible.
	checkInTime bool
	raterDown   bool
	answers     []answer
}

// answer is the outcome of one version on one request. accepted is the rating that the rating service would give.
type answer struct {
	good          bool
	accepted      bool
	ratingMissing bool
	ratingDelay   time.Duration
}

func newWorkload(seed uint64, conditions scenario) *workload {
	w := &workload{
		versions: []versionTruth{
			{id: "mini-1", ability: 1.2, price: 100, expected: 0.7, classBonus: map[lavid.TaskClass]float64{"lookup": 0.8}},
			{id: "base-2", ability: 2.2, price: 400, expected: 0.8},
			{id: "draft-1", ability: 2.4, price: 700, expected: 0.8, classBonus: map[lavid.TaskClass]float64{"dossier": 0.9, "lookup": -0.6}},
			{id: "large-3", ability: 3.6, price: 2400, expected: 0.9},
			{id: "expert-1", ability: 4.8, price: 9000, expected: 0.95},
		},
		classes: []classTruth{
			{id: "lookup", difficulty: -1.2, spread: 0.8},
			{id: "summary", difficulty: 0.2, spread: 1.4},
			{id: "dossier", difficulty: 1.4, spread: 1.6},
		},
		accounts: []accountTruth{
			{id: "norte", target: 0.85, weight: 4, classWeights: []float64{0.6, 0.3, 0.1}},
			{id: "sur", target: 0.90, weight: 3, classWeights: []float64{0.3, 0.5, 0.2}},
			{id: "costa", target: 0.93, weight: 2, classWeights: []float64{0.4, 0.3, 0.3}},
			{id: "sierra", target: 0.88, weight: 1, classWeights: []float64{0.2, 0.3, 0.5}, extraDifficulty: 0.5},
		},
		rater:    lavplan.RatingErrors{FalseAccept: 0.05, FalseReject: 0.04},
		scenario: conditions,
	}
	random := rand.New(rand.NewPCG(seed, 1))
	for i := range requestCount {
		phase := i * phaseCount / requestCount
		w.requests = append(w.requests, w.drawRequest(random, time.Duration(i)*requestInterval, phase))
	}
	return w
}

// drawRequest draws a request and the outcome of every version on it.
func (w *workload) drawRequest(random *rand.Rand, at time.Duration, phase int) request {
	account := pickWeighted(random, w.accountWeights())
	class := pickWeighted(random, w.accounts[account].classWeights)
	drawn := request{at: at, account: account, class: class, phase: phase}
	drawn.relativeLength = 0.5 + random.Float64()
	drawn.checkInTime = random.Float64() >= checkMissingRate
	drawn.raterDown = w.scenario.raterOutage && phase == 1
	difficulty := w.difficulty(random, account, class)
	for _, version := range w.versions {
		if phase > 0 && version.id == w.scenario.degradedVersion {
			version.ability -= abilityLoss
		}
		answered := w.answer(random, version, class, difficulty)
		answered.ratingMissing = answered.ratingMissing || drawn.raterDown
		drawn.answers = append(drawn.answers, answered)
	}
	return drawn
}

// difficulty draws the difficulty of a request.
func (w *workload) difficulty(random *rand.Rand, account, class int) float64 {
	truth := w.classes[class]
	return truth.difficulty + w.accounts[account].extraDifficulty + truth.spread*random.NormFloat64()
}

// answer draws the outcome of a version on a request of a class and difficulty.
func (w *workload) answer(random *rand.Rand, version versionTruth, class int, difficulty float64) answer {
	drawn := answer{good: random.Float64() < version.quality(w.classes[class].id, difficulty)}
	drawn.accepted = random.Float64() < float64(w.rater.FalseAccept)
	missing := w.scenario.ratingLoss.missingRateBad
	if drawn.good {
		drawn.accepted = random.Float64() >= float64(w.rater.FalseReject)
		missing = w.scenario.ratingLoss.missingRateGood
	}
	drawn.ratingMissing = random.Float64() < missing
	drawn.ratingDelay = time.Duration(random.ExpFloat64() * float64(meanRatingDelay))
	return drawn
}

// quality returns the probability of a good answer, which is logistic in ability minus difficulty.
func (v versionTruth) quality(class lavid.TaskClass, difficulty float64) float64 {
	return 1 / (1 + math.Exp(difficulty-v.ability-v.classBonus[class]))
}

// cost returns the price of one answer of the version, in billionths of the currency unit.
func (v versionTruth) cost(relativeLength float64) float64 {
	perToken := float64(v.price)
	return relativeLength * (perToken*meanOutput + perToken/outputPriceRatio*meanInput)
}

func (w *workload) accountWeights() []float64 {
	weights := make([]float64, 0, len(w.accounts))
	for _, account := range w.accounts {
		weights = append(weights, account.weight)
	}
	return weights
}

// pickWeighted draws an index with a probability proportional to its weight.
func pickWeighted(random *rand.Rand, weights []float64) int {
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

// document returns the configuration that the planner receives.
func (w *workload) document() *lavconfig.Document {
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
			InputPrice:      version.price / outputPriceRatio,
			OutputPrice:     version.price,
			ExpectedQuality: version.expected,
		}
	}
	for _, account := range w.accounts {
		document.ClientAccounts[account.id] = lavconfig.ClientAccount{AllowedVersions: all, QualityTarget: account.target}
	}
	return document
}
