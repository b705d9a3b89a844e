package lavfault

import (
	"slices"

	"lavenderswitch/core/modules/lavsettings"
	"lavenderswitch/fake/models/lavtruth"
)

// Kind is the effect of a fault.
type Kind string

// Kinds of faults.
const (
	// Down refuses the call with status 503 before it takes effect.
	Down Kind = "Down"
	// Slow delays the call by Delay.
	Slow Kind = "Slow"
	// ReplyLost closes the connection without a reply after the call took effect.
	ReplyLost Kind = "ReplyLost"
	// LateWrite closes the connection without a reply. The call takes effect after Delay.
	LateWrite Kind = "LateWrite"
	// Hold makes the call wait before it takes effect until it is released.
	Hold Kind = "Hold"
	// HoldReply makes the call wait after it took effect until it is released.
	HoldReply Kind = "HoldReply"
	// Exit ends the process immediately.
	Exit Kind = "Exit"
	// Cold restarts the warm-up of an engine when the fault is set.
	Cold Kind = "Cold"
	// Bad makes all answers of a version flawed.
	Bad Kind = "Bad"
	// WrongVersion makes an engine answer with Version instead of the requested version.
	WrongVersion Kind = "WrongVersion"
)

// Fault describes a fault and the calls that it affects.
type Fault struct {
	Kind Kind
	// Step limits the fault to one step. When it is empty, the fault applies to all steps.
	Step lavtruth.Step `json:",omitempty"`
	// Table limits a fault of the table service to one table. When it is empty, the fault applies to all tables.
	Table string `json:",omitempty"`
	// Version is used by Bad and WrongVersion. For Bad, an empty Version means all versions.
	Version string `json:",omitempty"`
	// Delay is used by Slow, LateWrite and Cold. For Cold, a positive Delay replaces the warm-up time.
	Delay lavsettings.Duration
	// Count is the number of calls that the fault affects. Zero means all calls until it is cleared.
	Count int `json:",omitempty"`
}

// Command is the body of POST /control.
type Command struct {
	// Clear removes all faults and releases all held calls before Add is applied.
	Clear bool `json:",omitempty"`
	Add   []Fault
}

// Call describes a call to which faults may apply.
type Call struct {
	lavtruth.HeldCall
	// Tables holds the tables of all rows of a batch.
	Tables []string
}

// matches reports whether the step and the tables of a call are among those of the fault.
func (f Fault) matches(call Call) bool {
	if f.Step != "" && f.Step != call.Step {
		return false
	}
	return f.Table == "" || f.Table == call.Table || slices.Contains(call.Tables, f.Table)
}
