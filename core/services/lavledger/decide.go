package lavledger

// Action is what a claim does next.
type Action int

// The actions that follow from a ledger row and its holder's report.
const (
	// ActionRefuse gives the claim up; its attempt did not run and never does.
	ActionRefuse Action = iota
	// ActionDispatch runs the call, for the claim holds the intent.
	ActionDispatch
	// ActionReplay answers with the stored answer.
	ActionReplay
	// ActionMismatch refuses a request whose body differs from the one that used the request id first.
	ActionMismatch
	// ActionSealed refuses an attempt that was sealed before it could claim.
	ActionSealed
	// ActionTakeOver replaces a row that nobody dispatches any more.
	ActionTakeOver
	// ActionQueryHolder asks the holder of the intent what became of it.
	ActionQueryHolder
	// ActionAttach refers the caller to the holder, which runs the call or has its answer.
	ActionAttach
	// ActionInDoubt refuses, for the call may have run and its holder cannot tell.
	ActionInDoubt
)

// Decide returns what a claim does on finding an entry in its row.
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

// HolderReport is what a holder says of the attempt that a row names.
type HolderReport struct {
	// Reached says that a process answered at the holder's address.
	Reached bool
	Process ProcessID
	Phase   Phase
}

// DecideFromReport returns what a claim does after the holder of the entry was asked.
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
