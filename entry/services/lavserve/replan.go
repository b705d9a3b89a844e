package lavserve

import (
	"context"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/services/lavplan"
)

// maxPlans bounds the plans tried for one request.
const maxPlans = 6

// servePlans takes another plan while the pools of the one before have no server with room, or its version was withdrawn.
func (w *work) servePlans(ctx context.Context) error {
	var last error
	for range maxPlans {
		plan, err := w.plan(ctx)
		if err != nil {
			return firstOf(last, err)
		}
		err = w.serveStages(ctx, plan)
		switch {
		case err == nil:
			return nil
		case isErrPlanOutdated(err):
		case w.mayReplan(err, plan):
			w.excluded = append(w.excluded, plan.Stages[len(plan.Stages)-1].Version)
		default:
			return err
		}
		last = err
	}
	return last
}

// mayReplan tells whether another version may serve instead: nothing ran, and neither caller nor session asks for this one.
func (w *work) mayReplan(err error, plan lavplan.Plan) bool {
	typed := laverror.As(err)
	lacking := typed.Kind == laverror.KindNoServer || typed.Kind == laverror.KindOverloaded
	keeps := w.request.Session != "" && !w.request.FirstTurn
	return lacking && !keeps && typed.Run == laverror.NotRun && w.run == "" && w.request.Version == "" && plan.Reason != lavplan.ReasonPinned
}

func firstOf(first, second error) error {
	if first != nil {
		return first
	}
	return second
}
