package lavserve

import (
	"time"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/wire/lavwire"
)

// maxStoreRefusals is how many side processes without the store are asked; the store is then taken to be down for all.
const maxStoreRefusals = 2

// final returns the error of a refusal that no other backend server would answer otherwise, or nil.
func (a *stageAttempts) finalError(out outcome) error {
	refusal := out.result.Refusal
	switch refusal.GetKind() {
	case lavwire.RefusalKind_REFUSAL_KIND_REQUEST_MISMATCH:
		return laverror.New(laverror.KindRequestMismatch, "the idempotency key was used with another body", refusal.GetRemedy())
	case lavwire.RefusalKind_REFUSAL_KIND_MALFORMED:
		return laverror.New(laverror.KindBadRequest, "the request is malformed", refusal.GetRemedy())
	case lavwire.RefusalKind_REFUSAL_KIND_REQUEST_SETTLED:
		return laverror.New(laverror.KindConflict, "the call ran and its answer is not known", refusal.GetRemedy()).WithRun(laverror.Ran)
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
	final := laverror.New(laverror.KindStoreUnavailable, "the platform's store is unavailable, which calls that may not be repeated need", "repeat the request with the same Idempotency-Key")
	return final.WithRetryAfter(after)
}
