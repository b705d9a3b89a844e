package lavserve

import (
	"context"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/services/lavplan"
)

// maxPlans bounds the plans tried for one request.
const maxPlans = 6

// servePlans takes another plan while the pools of the one before have no server with room, or its version was withdrawn.
func (e *execution) servePlans(ctx context.Context) error {
	var last error
	for range maxPlans {
		plan, err := e.plan(ctx)
		if err != nil {
			return firstNonNil(last, err)
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
		last = err
	}
	return last
}

// mayReplan tells whether another version may serve instead: nothing ran, and neither caller nor session asks for this one.
func (e *execution) mayReplan(err error, plan lavplan.Plan) bool {
	typed := laverror.As(err)
	withoutServer := typed.Kind == laverror.KindNoServer || typed.Kind == laverror.KindOverloaded
	keeps := e.request.Session != "" && !e.request.FirstTurn
	return withoutServer && !keeps && typed.Run == laverror.NotRun && e.runState == "" && e.request.Version == "" && plan.Reason != lavplan.ReasonPinned
}

func firstNonNil(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
