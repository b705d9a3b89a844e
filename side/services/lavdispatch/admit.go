package lavdispatch

import (
	"context"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavadmission"
	"lavenderswitch/core/services/lavlimit"
	"lavenderswitch/wire/lavwire"
)

// catchUpTimeout bounds the wait for a newer configuration before an attempt is refused.
const catchUpTimeout = 500 * time.Millisecond

// admit makes the first decision about an attempt and reserves capacity at the backend server for an admitted one.
func (d *Dispatcher) admit(ctx context.Context, run *Run) *lavwire.Refusal {
	refusal := d.decide(run, time.Now())
	if isConfigRefusal(refusal) {
		d.catchUp(ctx, run, refusal.GetKind())
		refusal = d.decide(run, time.Now())
	}
	if refusal != nil {
		return refusal
	}
	if d.Bills.Full() {
		return storeUnavailable()
	}
	permit, ok := d.reserve(run.Attempt, time.Now())
	if !ok {
		document := d.Configs.InForce(time.Now())
		return lavadmission.Decide(document, d.admissionServer(true), run.Attempt)
	}
	run.setPermit(permit)
	return nil
}

// reserve requests a permit from the limiter. An attempt with priority may use the reserved part of the limit.
func (d *Dispatcher) reserve(attempt *lavwire.Attempt, now time.Time) (*lavlimit.Permit, bool) {
	tokens := lavid.Tokens(attempt.GetEstimatedTokens())
	if attempt.GetPriority() > 0 {
		return d.currentLimiter().AdmitReserved(tokens, now)
	}
	return d.currentLimiter().Admit(tokens, now)
}

// decide decides whether to admit the attempt under the current configuration and state. It is called again right before the
// dispatch.
func (d *Dispatcher) decide(run *Run, now time.Time) *lavwire.Refusal {
	document := d.Configs.InForce(now)
	refusal := lavadmission.Decide(document, d.admissionServer(false), run.Attempt)
	if refusal == nil {
		run.document = document
	}
	return refusal
}

// isConfigRefusal reports whether a newer configuration could admit the attempt.
func isConfigRefusal(refusal *lavwire.Refusal) bool {
	kind := refusal.GetKind()
	return kind == lavwire.RefusalKind_REFUSAL_KIND_CONFIG_BEHIND || kind == lavwire.RefusalKind_REFUSAL_KIND_CONFIG_STALE
}

// catchUp fetches the attempt's configuration, or a newer one when the current one may be stale.
func (d *Dispatcher) catchUp(ctx context.Context, run *Run, kind lavwire.RefusalKind) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	number := lavid.ConfigNumber(run.Attempt.GetConfigNumber())
	if kind == lavwire.RefusalKind_REFUSAL_KIND_CONFIG_STALE {
		number++
	}
	d.Configs.CatchUp(ctx, lavid.HostID(run.Attempt.GetSenderId()), number)
}

// admissionServer returns the state of the backend server for a decision; full states whether its limit is reached.
func (d *Dispatcher) admissionServer(full bool) lavadmission.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lavadmission.Server{
		ID:             d.Server,
		Leaving:        d.leaving || d.hostLeaving,
		LoadedVersions: d.backendState.LoadedVersions,
		Full:           full,
	}
}
