package lavbroadcast

import "lavenderswitch/core/services/lavrollout"

func sample(trials, bad float64) lavrollout.Sample {
	return lavrollout.Sample{Trials: trials, Bad: bad}
}
