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
type operatorShare struct {
	start lavid.Share
}

func (operatorShare) observe(lavevidence.Count) {}

func (o operatorShare) share(time.Time) lavid.Share { return o.start }

const (
	alarmWindow   = 200
	alarmExpected = 0.12
)

// alarm stops the version when the bad part of its last answers is above a fixed threshold.
type alarm struct {
	start lavid.Share
	// rejected is how far rejections may be above the expected part.
	rejected float64
	// allowed is the part of answers that may fail.
	allowed float64
	failed  window
	rated   window
	stopped bool
}

type window struct {
	values []bool
	bad    int
}

func (w *window) add(bad bool) {
	w.values = append(w.values, bad)
	if bad {
		w.bad++
	}
	if len(w.values) > alarmWindow {
		if w.values[0] {
			w.bad--
		}
		w.values = w.values[1:]
	}
}

func (w *window) above(part float64) bool {
	return len(w.values) == alarmWindow && float64(w.bad) > part*alarmWindow
}

func (a *alarm) observe(count lavevidence.Count) {
	if count.Version != newVersion {
		return
	}
	addAll(&a.failed, count.Answers, count.Failed)
	addAll(&a.rated, count.Accepted, count.Rated-count.Accepted)
	if a.failed.above(a.allowed) || a.rated.above(alarmExpected+a.rejected) {
		a.stopped = true
	}
}

func addAll(to *window, good, bad float64) {
	for range int(bad) {
		to.add(true)
	}
	for range int(good) {
		to.add(false)
	}
}

func (a *alarm) share(time.Time) lavid.Share {
	if a.stopped {
		return 0
	}
	return a.start
}

// tested is the decision code.
type tested struct {
	state    *lavrollout.State
	document *lavconfig.Document
	serving  bool
}

func (t *tested) observe(count lavevidence.Count) { t.state.Observe(count) }

func (t *tested) share(now time.Time) lavid.Share {
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
