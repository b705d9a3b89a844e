package lavmatrix

import (
	"slices"
	"strings"
)

// CellName returns the name of a cell in lists, reports and test names.
func CellName(step Step, fault Fault) string {
	return step.Name + "/" + fault.Name
}

// NotApplicableReason returns why a fault cannot be combined with a step, or an empty string if it can.
func NotApplicableReason(step Step, fault Fault) string {
	if step.NotApplicableReason != "" {
		return step.NotApplicableReason
	}
	if step.Shutdown && (strings.HasPrefix(fault.Name, "kill ") || onCallerHop(fault) || fault.hold == unseenDuration) {
		return "the fault itself ends the request, so the shutdown has no effect on it"
	}
	if onCallerHop(fault) && (step.ConfigStep || step.Name == "answered" || step.Name == "billed") {
		return "no connection of a caller is open at this step"
	}
	if step.Name == "leaving" && fault.Name == "host list late" {
		return "the step itself includes this fault"
	}
	return ""
}

// onCallerHop reports whether a fault affects the connections between callers and an entry host.
func onCallerHop(fault Fault) bool {
	return strings.HasSuffix(fault.Name, " caller-entry")
}

// InSubset reports whether a cell belongs to the subset that CI runs.
func InSubset(step Step, fault Fault) bool {
	return slices.Contains(strings.Split(subset, "\n"), CellName(step, fault))
}

// subset lists at least one cell for each guarantee, with the faults that are most likely to violate it.
const subset = `
admitted/none
intent written/kill side
intent written/freeze side
admitted/reply lost
admitted/late write
admitted/store down
admitted/kill side
admitted/data centre out unseen
attempt sent/data centre out unseen
stream sent/data centre out unseen
admitted/silent side-platform
attempt sent/cut entry-side
attempt sent/silent entry-side
attempt sent/kill entry
dispatched/kill entry
dispatched/kill side
work done/kill side
work done/cut entry-side
work done/store down
half answered/silent entry-side
half streamed/cut entry-side
half streamed/silent entry-side
half streamed/cut side-backend
half streamed/silent side-backend
half streamed/kill backend
half streamed/version withdrawn
half streamed/data centre out
half streamed/prices changed
end frame/kill entry
billed/kill entry
billed/store down
answered/kill side
answered/kill entry
configuration accepted/reply lost
configuration accepted/store down
configuration accepted/operators racing
configuration spread/cut entry-platform
configuration adopted/kill entry
leaving/none
shutdown of entry/none
shutdown of side/none
shutdown of side/store down
`
