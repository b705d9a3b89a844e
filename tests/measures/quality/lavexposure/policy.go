package lavexposure

import (
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/core/services/lavrollout"
)

// policy decides the share of the new version from what is known at each step.
type policy interface {
	// observe is given counts as entry hosts report them, a step after they arose.
	observe(count lavevidence.Count)
	// share returns the part of requests that the new version gets.
	share(now time.Time) lavid.Share
}

// operatorShare keeps the operators' share without evidence.
type fixedShare struct {
	start lavid.Share
}

func (fixedShare) observe(lavevidence.Count) {}

func (o fixedShare) share(time.Time) lavid.Share { return o.start }

const (
	alarmWindowSize = 200
	alarmExpected   = 0.12
)

// alarm stops the version when the bad part of its last answers is above a fixed threshold.
type thresholdAlarm struct {
	start lavid.Share
	// rejected is how far rejections may be above the expected part.
	maxExtraRejections float64
	// allowed is the part of answers that may fail.
	maxFailures float64
	failed      slidingWindow
	rated       slidingWindow
	stopped     bool
}

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

// tested is the decision code.
type rolloutPolicy struct {
	state    *lavrollout.State
	document *lavconfig.Document
	serving  bool
}

func (t *rolloutPolicy) observe(count lavevidence.Count) { t.state.Observe(count) }

func (t *rolloutPolicy) share(now time.Time) lavid.Share {
	exposure := t.state.Tick(t.document, now)
	for _, id := range exposure.Stopped {
		if id == newVersion {
			return 0
		}
	}
	if t.serving {
		return servingShare
	}
	for _, row := range exposure.Shares {
		if row.Version == newVersion {
			return row.Share
		}
	}
	return 0
}
