package lavledger

// Action is the next step of a claim.
type Action int

// The actions that follow from a ledger row and its holder's report.
const (
	// ActionRefuse refuses the attempt, which did not run and never will.
	ActionRefuse Action = iota
	// ActionDispatch dispatches the call, because the claim holds the intent.
	ActionDispatch
	// ActionReplay answers with the stored answer.
	ActionReplay
	// ActionMismatch refuses a request whose body differs from the first one with the same request id.
	ActionMismatch
	// ActionSealed refuses an attempt that is sealed.
	ActionSealed
	// ActionTakeOver replaces a row under which no process can dispatch.
	ActionTakeOver
	// ActionQueryHolder queries the holder of the intent for the phase of its attempt.
	ActionQueryHolder
	// ActionAttach refers the caller to the holder, which runs the call or has its answer.
	ActionAttach
	// ActionInDoubt refuses the attempt, because the call may have run and the holder cannot confirm or exclude it.
	ActionInDoubt
)

// Decide returns the action of a claim whose row holds entry. For ActionQueryHolder the holder's report decides, see
// DecideFromReport.
func Decide(claim Claim, entry Entry) Action {
	switch {
	case entry.IsSealed(claim.Attempt):
		return ActionSealed
	case entry.HeldBy(claim):
		return ActionDispatch
	case entry.Fingerprint != claim.Fingerprint && entry.State != StateSealed:
		return ActionMismatch
	case entry.State == StateFinished:
		return ActionReplay
	case entry.State == StateSealed:
		return ActionTakeOver
	default:
		return ActionQueryHolder
	}
}

// HolderReport is a holder's reply about the attempt that a row names.
type HolderReport struct {
	// Reached reports whether a process answered at the holder's address.
	Reached bool
	// Process identifies the process that answered, and Phase is the phase of the attempt there.
	Process ProcessID
	Phase   Phase
}

// DecideFromReport returns the action of a claim after a query to the holder of the entry.
func DecideFromReport(entry Entry, report HolderReport) Action {
	if !report.Reached || report.Process != entry.Process {
		return ActionInDoubt
	}
	switch report.Phase {
	case PhaseClaiming, PhaseDispatched, PhaseEnded:
		return ActionAttach
	case PhaseAbandoned:
		return ActionTakeOver
	default:
		return ActionInDoubt
	}
}
