package lavrollout

import (
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// Reason is the reason for stopping a version; empty if it is not stopped.
type Reason string

// The reasons to stop a version.
const (
	ReasonNone     Reason = ""
	ReasonFailures Reason = "answers failed more often than the reference"
	ReasonRatings  Reason = "answers were rejected more often than the reference"
)

// Row is the state of one version. Snapshots are encoded with its field names as keys.
type Row struct {
	Version lavid.VersionID
	State   lavconfig.VersionState
	// Share is the share of new sessions that the version may take under roll-out.
	Share   lavid.Share
	Stopped Reason
	// Since is when the version entered its state or was stopped.
	Since time.Time
	// Rated counts the rated answers under roll-out, and NextRated is the count at which the share grows next.
	Rated     float64
	NextRated float64
	Failures  Evidence
	Ratings   Evidence
	// Beside tests the ratings of a version in service against those of all other versions.
	Beside Evidence
	// Held is the share before it was cut because of evidence against the version; zero while it is not cut.
	Held lavid.Share
	// Recent counts recent answers with exponential decay.
	Recent Blocks
	// Past counts the answers that serve as the version's own reference.
	Past Blocks
	// Waiting holds answers of the version, and Control those of the versions that it is compared with, until both are
	// enough for a test.
	Waiting Blocks
	Control Blocks
}

func newRow(id lavid.VersionID, state lavconfig.VersionState, settings Settings, now time.Time) Row {
	return Row{
		Version:   id,
		State:     state,
		Share:     settings.InitialShare,
		Since:     now,
		NextRated: settings.FirstGrowthRated,
		Failures:  newEvidence(),
		Ratings:   newEvidence(),
		Beside:    newEvidence(),
		Recent:    make(Blocks),
		Past:      make(Blocks),
		Waiting:   make(Blocks),
		Control:   make(Blocks),
	}
}

// evidence returns the mean over all tests of the version. A mean of such tests is itself a valid test at the same
// threshold.
func (r Row) evidence() float64 {
	if r.State == lavconfig.VersionRollingOut {
		return (r.Failures.value() + r.Ratings.value()) / 2
	}
	return (r.Failures.value() + r.Ratings.value() + r.Beside.value()) / 3
}

// stopOnEvidence stops the version when the evidence against it reaches the threshold.
func (r Row) stopOnEvidence(settings Settings, now time.Time) Row {
	if r.Stopped != ReasonNone || r.evidence() < settings.threshold() {
		return r
	}
	r.Stopped = ReasonRatings
	if r.Failures.value() > max(r.Ratings.value(), r.Beside.value()) {
		r.Stopped = ReasonFailures
	}
	r.Share = 0
	r.Since = now
	return r
}

// adjustShare raises the share of a version as ratings arrive without evidence against it. Evidence of
// HoldEvidence and more stops the growth, and evidence of CutEvidence and more cuts the share to the initial one.
// When the evidence falls again, the share resumes one growth step below the share before the cut.
func (r Row) adjustShare(version lavconfig.Version, settings Settings) Row {
	switch {
	case r.Stopped != ReasonNone:
		return r
	case r.evidence() >= settings.CutEvidence:
		r.Held = max(r.Held, r.Share)
		r.Share = min(r.Share, settings.InitialShare)
	case r.evidence() >= settings.HoldEvidence:
	case r.Held > 0:
		r.Share = max(settings.InitialShare, r.Held/lavid.Share(settings.GrowthFactor))
		r.Held = 0
	case r.Rated >= r.NextRated:
		r.Share *= lavid.Share(settings.GrowthFactor)
		r.NextRated = r.Rated + max(settings.FirstGrowthRated, r.NextRated*(settings.GrowthFactor-1))
	}
	r.Share = min(r.Share, version.MaxShare)
	return r
}
