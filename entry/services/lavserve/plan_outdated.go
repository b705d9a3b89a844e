package lavserve

import (
	"github.com/pkg/errors"

	"lavenderswitch/core/modules/laverror"
)

// errPlanOutdated states that a side process has a newer configuration that does not allow the plan.
type errPlanOutdated struct{ typed *laverror.Error }

// Error returns the text for the caller.
func (e errPlanOutdated) Error() string {
	return e.typed.Error()
}

// Unwrap returns the typed error for the caller.
func (e errPlanOutdated) Unwrap() error {
	return e.typed
}

func newPlanOutdated() error {
	return errPlanOutdated{laverror.New(laverror.KindNotAllowed, "the configuration no longer allows the version or service", "choose one that is allowed")}
}

func isErrPlanOutdated(err error) bool {
	var typed errPlanOutdated
	return errors.As(err, &typed)
}
