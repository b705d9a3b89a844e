package lavforecast

// regression is a linear regression of seconds on work, over recent samples.
type regression struct {
	weight, work, seconds, workWork, workSeconds float64
}

// forgetting is the factor by which each sample lowers the weight of the earlier ones.
const forgetting = 0.99

func (r *regression) add(work, seconds float64) {
	for _, sum := range []*float64{&r.weight, &r.work, &r.seconds, &r.workWork, &r.workSeconds} {
		*sum *= forgetting
	}
	r.weight++
	r.work += work
	r.seconds += seconds
	r.workWork += work * work
	r.workSeconds += work * seconds
}

// line returns the intercept and the slope of the regression, neither of which is below zero.
func (r *regression) line() (float64, float64) {
	if r.weight == 0 {
		return 0, 0
	}
	meanWork, meanSeconds := r.work/r.weight, r.seconds/r.weight
	variance := r.workWork/r.weight - meanWork*meanWork
	if variance <= 0 {
		return meanSeconds, 0
	}
	slope := max((r.workSeconds/r.weight-meanWork*meanSeconds)/variance, 0)
	intercept := meanSeconds - slope*meanWork
	if intercept < 0 {
		return 0, r.workSeconds / r.workWork
	}
	return intercept, slope
}
