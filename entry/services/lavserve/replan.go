package lavserve

import (
	"context"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/services/lavplan"
)

// maxPlans is the number of plans tried for one request.
const maxPlans = 6

// servePlans serves the request by a plan. It tries another plan if the pools of the previous one have no server with
// capacity, or if its version was withdrawn.
func (e *execution) servePlans(ctx context.Context) error {
	var lastErr error
	for range maxPlans {
		plan, err := e.plan(ctx)
		if err != nil {
			return firstNonNil(lastErr, err)
		}
		err = e.serveStages(ctx, plan)
		switch {
		case err == nil:
			return nil
		case isErrPlanOutdated(err):
		case e.mayReplan(err, plan):
			e.excludedVersions = append(e.excludedVersions, plan.Stages[len(plan.Stages)-1].Version)
		default:
			return err
		}
		lastErr = err
	}
	return lastErr
}

// mayReplan reports whether another version may serve the request: nothing ran, and neither the caller nor the session
// requires the version of the plan.
func (e *execution) mayReplan(err error, plan lavplan.Plan) bool {
	typed := laverror.As(err)
	noCapacity := typed.Kind == laverror.KindNoServer || typed.Kind == laverror.KindOverloaded
	keepsVersion := e.request.Session != "" && !e.request.FirstTurn
	return noCapacity && !keepsVersion && typed.Run == laverror.NotRun && e.runState == "" && e.request.Version == "" && plan.Reason != lavplan.ReasonPinned
}

func firstNonNil(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
