package lavcost

import (
	"math"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/tests/measures/lavreport"
)

const (
	// qualityTolerance is the allowed difference between measured quality and the target.
	qualityTolerance = 0.01
	// costTolerance is the allowed ratio of the cost to that of the restricted oracle.
	costTolerance = 1.15
	targetText    = "each account within 1 point of target; cost at most 1.15x restricted oracle, at target and at equal quality"
)

// Measure measures the cost per request at the quality target.
var Measure = lavreport.Measure{Name: "cost", Run: run}

// scenario describes the conditions under which requests are served and rated.
type scenario struct {
	name       string
	ratingLoss ratingLoss
	// assumedErrors are the error rates of the rating service that the planner is configured with; they are zero if the
	// rates are unknown.
	assumedErrors lavplan.RatingErrors
	// raterOutage makes the rating service unavailable in the middle third of the run.
	raterOutage bool
	// degradedVersion is the version whose quality drops after the first third of the run.
	degradedVersion lavid.VersionID
}

// scenarios returns the conditions to measure. The baselines are measured only under the first.
func scenarios() []scenario {
	raterErrors := lavplan.RatingErrors{FalseAccept: 0.05, FalseReject: 0.04}
	halfMissing := ratingLoss{missingRateGood: 0.5, missingRateBad: 0.5}
	return []scenario{
		{name: "half of ratings missing", ratingLoss: halfMissing, assumedErrors: raterErrors},
		{name: "rating service down for a third", ratingLoss: halfMissing, assumedErrors: raterErrors, raterOutage: true},
		{name: "a version worsens after a third", ratingLoss: halfMissing, assumedErrors: raterErrors, degradedVersion: "base-2"},
		{name: "nine in ten missing", ratingLoss: ratingLoss{missingRateGood: 0.9, missingRateBad: 0.9}, assumedErrors: raterErrors},
		{name: "bad answers rated half as often", ratingLoss: ratingLoss{missingRateGood: 0.5, missingRateBad: 0.75}, assumedErrors: raterErrors},
		{name: "rater's errors not known", ratingLoss: halfMissing},
	}
}

func run(options lavreport.Options) ([]lavreport.Row, error) {
	var rows []lavreport.Row
	for i, conditions := range scenarios() {
		w := newWorkload(options.Seed, conditions)
		oracle := newRestrictedOracle(w)
		driver := newPlannerDriver(w, options.Seed, plannerSettings(conditions))
		got := driver.run()
		rows = append(rows, routerRow(w, oracle, got, conditions.name, options.Seed))
		if i > 0 {
			continue
		}
		rows = append(rows, baselineRows(w, oracle, options.Seed)...)
		if err := writePlots(w, got, options.PlotDirectory); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

func plannerSettings(conditions scenario) lavplan.Settings {
	chosen := lavplan.DefaultSettings()
	chosen.RatingErrors = conditions.assumedErrors
	chosen.CheckCost = checkCost
	return chosen
}

// baselineRows returns a row for each policy that lavplan is compared with.
func baselineRows(w *workload, oracle *restrictedOracle, seed uint64) []lavreport.Row {
	dearest := len(w.versions) - 1
	return []lavreport.Row{
		baselineRow(w, oracle, w.fixedCascade(dearest), "always dearest", seed),
		baselineRow(w, oracle, w.fixedCascade(0), "always cheapest", seed),
		baselineRow(w, oracle, w.fixedCascade(0, dearest), "fixed cascade, cheapest then dearest", seed),
		baselineRow(w, oracle, w.outcomeOracle(), "oracle of each outcome", seed),
	}
}

func baselineRow(w *workload, oracle *restrictedOracle, got *result, policy string, seed uint64) lavreport.Row {
	return lavreport.Row{
		Measure: "cost",
		Case:    scenarios()[0].name,
		Policy:  policy,
		Seed:    seed,
		Figures: compareWithOracle(w, oracle, got).figures(),
		Aim:     "-",
		Verdict: lavreport.Baseline,
	}
}

func routerRow(w *workload, oracle *restrictedOracle, got *result, name string, seed uint64) lavreport.Row {
	measured := compareWithOracle(w, oracle, got)
	met := measured.worstQualityError() <= qualityTolerance && measured.ratioAtTarget <= costTolerance && measured.ratioAtEqualQuality <= costTolerance
	return lavreport.Row{
		Measure: "cost",
		Case:    name,
		Policy:  "lavplan",
		Seed:    seed,
		Figures: measured.figures(),
		Aim:     targetText,
		Verdict: lavreport.Judge(met),
	}
}

// comparison compares a result with the restricted oracle.
type comparison struct {
	// qualityErrors holds measured quality minus target for each account.
	qualityErrors []float64
	// ratioAtTarget is the cost relative to the oracle's cost at the target, ratioAtEqualQuality relative to its cost at the
	// measured quality.
	ratioAtTarget       float64
	ratioAtEqualQuality float64
}

// compareWithOracle compares the quality of a result with the targets, and its cost with that of the restricted oracle.
func compareWithOracle(w *workload, oracle *restrictedOracle, got *result) comparison {
	var measured comparison
	spent, atTarget, atEqual := 0.0, 0.0, 0.0
	for account, truth := range w.accounts {
		sum := got.accounts[account]
		measured.qualityErrors = append(measured.qualityErrors, sum.quality()-float64(truth.target))
		spent += sum.cost
		for phase, part := range got.phases[account] {
			atTarget += part.requests * oracle.cost(account, phase, float64(truth.target))
			atEqual += part.requests * oracle.cost(account, phase, part.quality())
		}
	}
	measured.ratioAtTarget = spent / atTarget
	measured.ratioAtEqualQuality = spent / atEqual
	return measured
}

// worstQualityError returns the largest absolute quality error of an account.
func (c comparison) worstQualityError() float64 {
	worstQualityError := 0.0
	for _, qualityError := range c.qualityErrors {
		worstQualityError = max(worstQualityError, math.Abs(qualityError))
	}
	return worstQualityError
}

func (c comparison) figures() []lavreport.Figure {
	const pointsPerUnit = 100
	text := ""
	for _, qualityError := range c.qualityErrors {
		text += " " + lavreport.Signed(qualityError*pointsPerUnit)
	}
	return []lavreport.Figure{
		{Name: "points off target", Text: "[" + text[1:] + "]"},
		lavreport.Number("cost/oracle", c.ratioAtTarget, 3),
		lavreport.Number("at equal quality", c.ratioAtEqualQuality, 3),
	}
}
