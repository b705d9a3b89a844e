package lavtruth

import (
	"encoding/json"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
)

// HeldCall is a call that waits at a step until it is released.
type HeldCall struct {
	Step    Step
	Table   string          `json:",omitempty"`
	Key     string          `json:",omitempty"`
	Attempt lavid.AttemptID `json:",omitempty"`
	Request lavid.RequestID `json:",omitempty"`
	// Value is the value that the call writes to the table service. It is nil for other calls.
	Value json.RawMessage `json:",omitempty"`
	Since time.Time
}

// Step is a point of a call at which a stand-in can apply faults.
type Step string

// Steps of the platform, one for each kind of call.
const (
	StepInsert  Step = "Insert"
	StepSwap    Step = "Swap"
	StepGet     Step = "Get"
	StepScan    Step = "Scan"
	StepObject  Step = "Object"
	StepHosts   Step = "Hosts"
	StepRating  Step = "Rating"
	StepWeights Step = "Weights"
)

// Steps of a backend server.
const (
	// StepArrive is reached before the work starts.
	StepArrive Step = "Arrive"
	// StepRan is reached after the work of a plain service and before its answer.
	StepRan Step = "Ran"
	// StepHalf is reached in the middle of an answer.
	StepHalf Step = "Half"
	// StepEnd is reached before the last bytes of an answer.
	StepEnd Step = "End"
	// StepState is reached before the state is reported.
	StepState Step = "State"
	// StepOrder is reached before an order takes effect.
	StepOrder Step = "Order"
)

// Run is one execution of a request by a backend server.
type Run struct {
	Request  lavid.RequestID
	Attempt  lavid.AttemptID
	Version  lavid.VersionID `json:",omitempty"`
	Path     string          `json:",omitempty"`
	Priority string          `json:",omitempty"`
	Arrived  time.Time
	// Ended is zero while the run is in progress, and for a run that was restored from a journal.
	Ended time.Time
	// Whole reports whether the work was completed.
	Whole        bool
	InputTokens  int `json:",omitempty"`
	OutputTokens int `json:",omitempty"`
	// Running is the number of runs in progress when this one started, including itself.
	Running int
	// Capacity is the number of concurrent runs that the backend server could handle at that time. Zero means a plain
	// service without a limit.
	Capacity int
}

// OrderRecord is an order that an engine received. Accepted is false when its epoch was refused.
type OrderRecord struct {
	Epoch    lavid.Epoch
	Order    string
	Version  lavid.VersionID
	Accepted bool
	Received time.Time
}

// Backend is the ground truth of a backend server.
type Backend struct {
	Started time.Time
	Runs    []Run
	Orders  []OrderRecord
	// Overloads counts the runs that arrived while the backend server was at its capacity.
	Overloads int
	// MaxRunning is the largest number of concurrent runs.
	MaxRunning int
	// Holding lists the held calls, oldest first.
	Holding []HeldCall
}

// Write is a write to a row that took effect in the table service. Revision is that of the row after it.
type Write struct {
	Table    string
	Key      string
	Writer   string
	Revision lavplatform.Revision
	At       time.Time
}

// Platform is the ground truth of the platform. Calls counts the calls of the table service that took effect.
type Platform struct {
	Rows    []lavplatform.Row
	Writes  []Write
	Calls   int
	Holding []HeldCall
}

// Route is the state of a route of a relay.
type Route struct {
	Listen string
	Target string
	Mode   string
	// Connections is the number of open connections, and Accepted the number of all accepted ones.
	Connections int
	Accepted    int
	// HeldBytes is the number of bytes that the route holds back.
	HeldBytes int64
	// HeldLines holds the first line of each piece of data that is held back.
	HeldLines []string `json:",omitempty"`
	// ForwardBytes counts the bytes that were forwarded to the target, and BackBytes those in the other direction.
	ForwardBytes int64
	BackBytes    int64
}

// Relay is the ground truth of a relay.
type Relay struct {
	Routes []Route
}
