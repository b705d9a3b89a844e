package lavcost

import (
	"math"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/tests/measures/lavreport"
)

const (
	// qualityTolerance is how far measured quality may be from the target.
	qualityTolerance = 0.01
	// costTolerance is what the restricted oracle's cost may be exceeded by, as a ratio.
	costTolerance = 1.15
	aim           = "each account within 1 point of target; cost at most 1.15x restricted oracle, at target and at equal quality"
)

// Measure measures cost at the quality target.
var Measure = lavreport.Measure{Name: "cost", Run: run}

// scenario is one set of conditions.
type scenario struct {
	name    string
	ratings ratings
	// assumed is what the system is told of the rating service's errors.
	assumed lavplan.RatingErrors
	// outage says that the rating service is down for the middle third.
	outage bool
	// worsens names a version that is worse from the second third on.
	worsens lavid.VersionID
}

func scenarios() []scenario {
	known := lavplan.RatingErrors{FalseAccept: 0.05, FalseReject: 0.04}
	half := ratings{missingGood: 0.5, missingBad: 0.5}
	return []scenario{
		{name: "half of ratings missing", ratings: half, assumed: known},
		{name: "rating service down for a third", ratings: half, assumed: known, outage: true},
		{name: "a version worsens after a third", ratings: half, assumed: known, worsens: "base-2"},
		{name: "nine in ten missing", ratings: ratings{missingGood: 0.9, missingBad: 0.9}, assumed: known},
		{name: "bad answers rated half as often", ratings: ratings{missingGood: 0.5, missingBad: 0.75}, assumed: known},
		{name: "rater's errors not known", ratings: half},
	}
}

func run(options lavreport.Options) ([]lavreport.Row, error) {
	var rows []lavreport.Row
	for i, conditions := range scenarios() {
		w := newWorld(options.Seed, conditions)
		oracle := newRestricted(w)
		driver := newPlanned(w, options.Seed, settings(conditions))
		got := driver.run()
		rows = append(rows, ours(w, oracle, got, conditions.name, options.Seed))
		if i > 0 {
			continue
		}
		rows = append(rows, baselines(w, oracle, options.Seed)...)
		if err := draw(w, got, options.PlotDirectory); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

func settings(conditions scenario) lavplan.Settings {
	chosen := lavplan.DefaultSettings()
	chosen.RatingErrors = conditions.assumed
	chosen.CheckCost = checkCost
	return chosen
}

func baselines(w *world, oracle *restricted, seed uint64) []lavreport.Row {
	dearest := len(w.versions) - 1
	return []lavreport.Row{
		baseline(w, oracle, w.fixed(dearest), "always dearest", seed),
		baseline(w, oracle, w.fixed(0), "always cheapest", seed),
		baseline(w, oracle, w.fixed(0, dearest), "fixed cascade, cheapest then dearest", seed),
		baseline(w, oracle, w.outcomeOracle(), "oracle of each outcome", seed),
	}
}

func baseline(w *world, oracle *restricted, got *result, policy string, seed uint64) lavreport.Row {
	return lavreport.Row{
		Measure: "cost",
		Case:    scenarios()[0].name,
		Policy:  policy,
		Seed:    seed,
		Figures: compare(w, oracle, got).figures(),
		Aim:     "-",
		Verdict: lavreport.Baseline,
	}
}

func ours(w *world, oracle *restricted, got *result, name string, seed uint64) lavreport.Row {
	found := compare(w, oracle, got)
	met := found.worst() <= qualityTolerance && found.ratio <= costTolerance && found.equalRatio <= costTolerance
	return lavreport.Row{
		Measure: "cost",
		Case:    name,
		Policy:  "lavplan",
		Seed:    seed,
		Figures: found.figures(),
		Aim:     aim,
		Verdict: lavreport.Judge(met),
	}
}

// comparison sets a result against the restricted oracle.
type comparison struct {
	// misses holds quality minus target of each account.
	misses []float64
	// ratio and equalRatio compare with the oracle at the target and at the quality that was reached.
	ratio      float64
	equalRatio float64
}

func compare(w *world, oracle *restricted, got *result) comparison {
	var found comparison
	spent, atTarget, atEqual := 0.0, 0.0, 0.0
	for account, truth := range w.accounts {
		sum := got.accounts[account]
		found.misses = append(found.misses, sum.quality()-float64(truth.target))
		spent += sum.cost
		for phase, part := range got.phases[account] {
			atTarget += part.requests * oracle.cost(account, phase, float64(truth.target))
			atEqual += part.requests * oracle.cost(account, phase, part.quality())
		}
	}
	found.ratio = spent / atTarget
	found.equalRatio = spent / atEqual
	return found
}

func (c comparison) worst() float64 {
	worst := 0.0
	for _, miss := range c.misses {
		worst = max(worst, math.Abs(miss))
	}
	return worst
}

func (c comparison) figures() []lavreport.Figure {
	const pointsPerUnit = 100
	text := ""
	for _, miss := range c.misses {
		text += " " + lavreport.Signed(miss*pointsPerUnit)
	}
	return []lavreport.Figure{
		{Name: "points off target", Text: "[" + text[1:] + "]"},
		lavreport.Number("cost/oracle", c.ratio, 3),
		lavreport.Number("at equal quality", c.equalRatio, 3),
	}
}
