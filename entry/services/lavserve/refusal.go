package lavserve

import (
	"time"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/wire/lavwire"
)

// maxStoreRefusals is the number of side processes that must report the store unavailable before it counts as down for
// all of them.
const maxStoreRefusals = 2

// finalError returns an error if every other backend server would refuse the request in the same way, and nil otherwise.
func (a *stageAttempts) finalError(out outcome) error {
	refusal := out.result.Refusal
	switch refusal.GetKind() {
	case lavwire.RefusalKind_REFUSAL_KIND_REQUEST_MISMATCH:
		return laverror.New(laverror.KindRequestMismatch, "the idempotency key was used with another body", refusal.GetRemedy())
	case lavwire.RefusalKind_REFUSAL_KIND_MALFORMED:
		return laverror.New(laverror.KindBadRequest, "the request is malformed", refusal.GetRemedy())
	case lavwire.RefusalKind_REFUSAL_KIND_REQUEST_SETTLED:
		return laverror.New(laverror.KindConflict, "the call ran, but its answer is unknown", refusal.GetRemedy()).WithRun(laverror.Ran)
	case lavwire.RefusalKind_REFUSAL_KIND_STORE_UNAVAILABLE:
		return a.storeUnavailableError(refusal)
	default:
		return nil
	}
}

func (a *stageAttempts) storeUnavailableError(refusal *lavwire.Refusal) error {
	a.storeRefusals++
	if a.storeRefusals < maxStoreRefusals {
		return nil
	}
	after := max(time.Duration(refusal.GetRetryAfterMillis())*time.Millisecond, retryAfterShort)
	final := laverror.New(laverror.KindStoreUnavailable, "the platform's store is unavailable; calls that may run at most once need it", "repeat the request with the same Idempotency-Key")
	return final.WithRetryAfter(after)
}
