package lavtruth

import (
	"encoding/json"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
)

// HeldCall is one call that waits at a step until it is released.
type HeldCall struct {
	Step    Step
	Table   string          `json:",omitempty"`
	Key     string          `json:",omitempty"`
	Attempt lavid.AttemptID `json:",omitempty"`
	Request lavid.RequestID `json:",omitempty"`
	// Value is what a write of the table service carries.
	Value json.RawMessage `json:",omitempty"`
	Since time.Time
}

// Step is a point of a call at which a stand-in can apply a fault.
type Step string

// The steps of the platform.
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

// The steps of a backend server.
const (
	// StepArrive is before the work starts.
	StepArrive Step = "Arrive"
	// StepRan is after the work of a plain service and before its answer.
	StepRan Step = "Ran"
	// StepHalf is in the middle of an answer.
	StepHalf Step = "Half"
	// StepEnd is before the last bytes of an answer.
	StepEnd   Step = "End"
	StepState Step = "State"
	StepOrder Step = "Order"
)

// Run is one piece of work that a backend server started.
type Run struct {
	Request  lavid.RequestID
	Attempt  lavid.AttemptID
	Version  lavid.VersionID `json:",omitempty"`
	Path     string          `json:",omitempty"`
	Priority string          `json:",omitempty"`
	Arrived  time.Time
	Ended    time.Time
	// Whole says that the work was finished.
	Whole        bool
	InputTokens  int `json:",omitempty"`
	OutputTokens int `json:",omitempty"`
	// Running counts the work in progress when this one started, itself included.
	Running int
	// Capacity is what the backend server could bear at that moment.
	Capacity int
}

// OrderRecord is one order that an engine received.
type OrderRecord struct {
	Epoch    lavid.Epoch
	Order    string
	Version  lavid.VersionID
	Accepted bool
	Received time.Time
}

// Backend is the ground truth of one backend server.
type Backend struct {
	Started time.Time
	Runs    []Run
	Orders  []OrderRecord
	// Overloads counts the work that arrived above what the server could bear.
	Overloads  int
	MaxRunning int
	Holding    []HeldCall
}

// Write is one row written to the table service.
type Write struct {
	Table    string
	Key      string
	Writer   string
	Revision lavplatform.Revision
	At       time.Time
}

// Platform is the ground truth of the platform.
type Platform struct {
	Rows    []lavplatform.Row
	Writes  []Write
	Calls   int
	Holding []HeldCall
}

// Route is the state of one route of a relay.
type Route struct {
	Listen      string
	Target      string
	Mode        string
	Connections int
	Accepted    int
	// HeldBytes counts the bytes that wait in a held route.
	HeldBytes int64
	// HeldLines are the first lines of the pieces that wait.
	HeldLines    []string `json:",omitempty"`
	ForwardBytes int64
	BackBytes    int64
}

// Relay is the ground truth of a relay.
type Relay struct {
	Routes []Route
}
