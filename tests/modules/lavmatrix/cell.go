package lavmatrix

import (
	"slices"
	"strings"
)

// CellName names one cell as it stands in lists and reports.
func CellName(step Step, fault Fault) string {
	return step.Name + "/" + fault.Name
}

// NotApplicable returns the reason why a fault cannot meet a step, or nothing.
func NotApplicableReason(step Step, fault Fault) string {
	if step.NotApplicableReason != "" {
		return step.NotApplicableReason
	}
	if step.Shutdown && (strings.HasPrefix(fault.Name, "kill ") || onCallerHop(fault) || fault.hold == unseenDuration) {
		return "the fault ends the request, whatever the shutdown does"
	}
	if onCallerHop(fault) && (step.ConfigStep || step.Name == "answered" || step.Name == "billed") {
		return "no caller's connection is open at this step"
	}
	if step.Name == "leaving" && fault.Name == "host list late" {
		return "the fault is part of the step"
	}
	return ""
}

func onCallerHop(fault Fault) bool {
	return strings.HasSuffix(fault.Name, " caller-entry")
}

// InSubset tells whether a cell belongs to the subset that CI runs.
func InSubset(step Step, fault Fault) bool {
	return slices.Contains(strings.Split(subset, "\n"), CellName(step, fault))
}

// subset holds at least one cell of each guarantee under the faults that threaten it most.
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
