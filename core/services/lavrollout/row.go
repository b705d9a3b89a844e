package lavrollout

import (
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// Reason says why a version was stopped.
type Reason string

// The reasons to stop a version.
const (
	ReasonNone     Reason = ""
	ReasonFailures Reason = "answers failed more often than the reference"
	ReasonRatings  Reason = "answers were rejected more often than the reference"
)

// Row is what is known of one version.
type Row struct {
	Version lavid.VersionID
	State   lavconfig.VersionState
	Share   lavid.Share
	Stopped Reason
	Since   time.Time
	// Rated counts rated answers under roll-out, and NextRated the number at which the share grows next.
	Rated     float64
	NextRated float64
	Failures  Evidence
	Ratings   Evidence
	// Beside tests ratings of a version in service against those of all others.
	Beside Evidence
	// Held is the share before the present doubt; zero without doubt.
	Held lavid.Share
	// Recent holds the last answers, older ones weighing less.
	Recent Blocks
	// Past holds what is taken as usual for the version.
	Past Blocks
	// Waiting and Control hold answers of the version and of the one that it replaces until both have some.
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

// evidence returns the mean over all tests of the version, which is a test of its own.
func (r Row) evidence() float64 {
	if r.State == lavconfig.VersionRollingOut {
		return (r.Failures.value() + r.Ratings.value()) / 2
	}
	return (r.Failures.value() + r.Ratings.value() + r.Beside.value()) / 3
}

// judge stops the version when the evidence against it passes the threshold.
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

// grow raises the share as ratings come in without evidence against the version, and cuts it while there is doubt.
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
