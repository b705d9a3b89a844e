package lavexposure

import (
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/core/services/lavrollout"
)

// policy sets the share of requests that the new version receives.
type policy interface {
	// observe receives counts as entry hosts report them, with the delay of reporting.
	observe(count lavevidence.Count)
	// share returns the share of requests that the new version receives.
	share(now time.Time) lavid.Share
}

// fixedShare keeps the share that operators configured and ignores evidence.
type fixedShare struct {
	start lavid.Share
}

func (fixedShare) observe(lavevidence.Count) {}

func (f fixedShare) share(time.Time) lavid.Share { return f.start }

const (
	alarmWindowSize = 200  // number of outcomes
	alarmExpected   = 0.12 // rejection rate expected of a healthy version
)

// thresholdAlarm stops the version when the share of bad outcomes in a sliding window exceeds a fixed threshold.
type thresholdAlarm struct {
	start lavid.Share
	// maxExtraRejections is the allowed excess of the rejection rate over alarmExpected.
	maxExtraRejections float64
	// maxFailures is the allowed failure rate.
	maxFailures float64
	failed      slidingWindow
	rated       slidingWindow
	stopped     bool
}

// slidingWindow holds the last alarmWindowSize outcomes.
type slidingWindow struct {
	values []bool
	bad    int
}

func (w *slidingWindow) add(bad bool) {
	w.values = append(w.values, bad)
	if bad {
		w.bad++
	}
	if len(w.values) > alarmWindowSize {
		if w.values[0] {
			w.bad--
		}
		w.values = w.values[1:]
	}
}

// exceeds reports whether the window is full and more than the given share of its outcomes are bad.
func (w *slidingWindow) exceeds(part float64) bool {
	return len(w.values) == alarmWindowSize && float64(w.bad) > part*alarmWindowSize
}

func (a *thresholdAlarm) observe(count lavevidence.Count) {
	if count.Version != newVersion {
		return
	}
	addOutcomes(&a.failed, count.Answers, count.Failed)
	addOutcomes(&a.rated, count.Accepted, count.Rated-count.Accepted)
	if a.failed.exceeds(a.maxFailures) || a.rated.exceeds(alarmExpected+a.maxExtraRejections) {
		a.stopped = true
	}
}

// addOutcomes adds the bad outcomes, then the good ones.
func addOutcomes(to *slidingWindow, good, bad float64) {
	for range int(bad) {
		to.add(true)
	}
	for range int(good) {
		to.add(false)
	}
}

func (a *thresholdAlarm) share(time.Time) lavid.Share {
	if a.stopped {
		return 0
	}
	return a.start
}

// rolloutPolicy is the roll-out code under test.
type rolloutPolicy struct {
	state    *lavrollout.State
	document *lavconfig.Document
	serving  bool
}

func (p *rolloutPolicy) observe(count lavevidence.Count) { p.state.Observe(count) }

func (p *rolloutPolicy) share(now time.Time) lavid.Share {
	exposure := p.state.Tick(p.document, now)
	for _, id := range exposure.Stopped {
		if id == newVersion {
			return 0
		}
	}
	if p.serving {
		return servingShare
	}
	for _, row := range exposure.Shares {
		if row.Version == newVersion {
			return row.Share
		}
	}
	return 0
}
