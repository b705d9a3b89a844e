package lavfault

import (
	"slices"

	"lavenderswitch/core/modules/lavsettings"
	"lavenderswitch/fake/models/lavtruth"
)

// Kind is what a fault does.
type Kind string

// The kinds of faults.
const (
	// Down refuses the call with 503 and without effect.
	Down Kind = "Down"
	// Slow delays the call.
	Slow Kind = "Slow"
	// ReplyLost lets the call take effect and closes the connection without a reply.
	ReplyLost Kind = "ReplyLost"
	// LateWrite closes the connection without a reply; the call takes effect after the delay.
	LateWrite Kind = "LateWrite"
	// Hold makes the call wait before its effect until it is released.
	Hold Kind = "Hold"
	// HoldReply makes the call wait after its effect until it is released.
	HoldReply Kind = "HoldReply"
	// Exit ends the process without notice.
	Exit Kind = "Exit"
	// Cold makes an engine lose its warmth when the fault is set.
	Cold Kind = "Cold"
	// Bad makes a version of an engine answer with flaws only.
	Bad Kind = "Bad"
	// WrongVersion makes an engine answer with the stated version in place of the one asked for.
	WrongVersion Kind = "WrongVersion"
)

// Fault is one fault of a stand-in.
type Fault struct {
	Kind Kind
	// Step limits the fault to one step; empty means every step.
	Step lavtruth.Step `json:",omitempty"`
	// Table limits a fault of the table service to one table.
	Table string `json:",omitempty"`
	// Version is meant by Bad and WrongVersion.
	Version string `json:",omitempty"`
	// Delay is meant by Slow and LateWrite.
	Delay lavsettings.Duration
	// Count is the number of calls that the fault hits; zero means all until it is cleared.
	Count int `json:",omitempty"`
}

// Command is the body of POST /control.
type Command struct {
	// Clear removes all faults and releases all held calls before Add is applied.
	Clear bool `json:",omitempty"`
	Add   []Fault
}

// Call names the call that a fault may hit.
type Call struct {
	lavtruth.HeldCall
	// Tables lists the further tables of a batch.
	Tables []string
}

func (f Fault) matches(call Call) bool {
	if f.Step != "" && f.Step != call.Step {
		return false
	}
	return f.Table == "" || f.Table == call.Table || slices.Contains(call.Tables, f.Table)
}
