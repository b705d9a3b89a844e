package lavmatrix

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
	"lavenderswitch/fake/services/lavrelay"
	"lavenderswitch/tests/modules/lavcluster"
)

// Step is one row of the matrix: a point in the processing of a request at which the request can be held.
type Step struct {
	Name string
	// NotApplicableReason is why the step cannot be distinguished from a neighbouring step from outside, or empty.
	NotApplicableReason string
	// MayBeInDoubt means that the call may already have been sent to the backend server at this step.
	MayBeInDoubt bool
	// ConfigStep means that the step submits a patch instead of a request; Leaves means that a backend server is
	// marked as leaving.
	ConfigStep bool
	Leaves     bool
	// Shutdown means that the step terminates a process gracefully.
	Shutdown bool

	// hold is the minimum time for which the main request is held, if the fault does not hold it longer.
	hold time.Duration
	// backendServer is the default backend server of the main request.
	backendServer string
	// begin starts the step, isHeld reports whether the main request is held at it, and release releases the request.
	// finish replaces Case.finish if it is set.
	begin   func(c *Case)
	isHeld  func(c *Case) bool
	release func(c *Case)
	finish  func(c *Case) []Violation
}

// options returns engines that start cold and answer slowly enough for a fault to occur during an answer.
func options() lavcluster.Options {
	return lavcluster.Options{
		EngineArgs: []string{
			"--tokens", "40", "--between-tokens", "4ms",
			"--capacity", "16", "--cold-capacity", "4", "--warm-up", "2s",
		},
		ServiceArgs: []string{"--latency", "20ms"},
	}
}

// backend returns the default backend server of the main request. Steps without one use Claims1.
func (s Step) backend() string {
	if s.backendServer == lavcluster.Engine1 {
		return lavcluster.Engine1
	}
	return lavcluster.Claims1
}

const (
	tableLedger = "Ledger"
	tableBill   = "Bill"
	tableConfig = "Config"
)

// Steps returns the rows of the matrix in report order.
func Steps() []Step {
	steps := []Step{
		{Name: "accepted", begin: beginAccepted, isHeld: func(c *Case) bool { return c.body.isHalfRead() }, release: func(c *Case) { c.body.release() }},
		{Name: "planned", NotApplicableReason: "planning sends nothing; from outside it cannot be distinguished from the step accepted"},
		{Name: "server chosen", NotApplicableReason: "the choice sends nothing; from outside it cannot be distinguished from the step attempt sent"},
		attemptSentStep("attempt sent", lavcluster.Submit, lavcluster.Services()),
		attemptSentStep("stream sent", lavcluster.Stream, lavcluster.Engines()),
		{Name: "admitted", MayBeInDoubt: true, begin: beginLedgerHeld(lavfault.Hold), isHeld: ledgerRowIsHeld, release: releaseStoreCalls},
		{Name: "intent written", MayBeInDoubt: true, begin: beginLedgerHeld(lavfault.HoldReply), isHeld: ledgerRowIsHeld, release: releaseStoreCalls},
		backendStep("dispatched", lavtruth.StepArrive, lavcluster.Submit),
		backendStep("work done", lavtruth.StepRan, lavcluster.Submit),
		backendStep("half answered", lavtruth.StepHalf, lavcluster.Submit),
		backendStep("half streamed", lavtruth.StepHalf, lavcluster.Stream),
		backendStep("end frame", lavtruth.StepEnd, lavcluster.Stream),
		{Name: "billed", backendServer: lavcluster.Engine1, begin: beginBillHeld, isHeld: billIsHeld, release: releaseStoreCalls},
		{Name: "answered", MayBeInDoubt: true, begin: beginAnswered},
	}
	return append(steps, operatorSteps()...)
}

// beginAccepted sends a request whose body is incomplete until the step is released.
func beginAccepted(c *Case) {
	c.body = newHeldBody()
	c.sendMain(lavcluster.Submit)
}

// attemptSentStep holds the attempt in the relay in front of the side process.
func attemptSentStep(name string, kind lavcluster.Kind, backends []string) Step {
	return Step{
		Name:          name,
		backendServer: backends[0],
		begin: func(c *Case) {
			for _, backend := range backends {
				c.SetRoute(lavcluster.HopSides, backend, lavrelay.Hold)
			}
			c.sendMain(kind)
		},
		isHeld:  func(c *Case) bool { return attemptIsHeld(c, backends) },
		release: func(c *Case) { releaseRoutes(c, backends) },
	}
}

// attemptIsHeld reports whether a relay route holds an attempt, and sets c.Backend to the backend server of that route.
func attemptIsHeld(c *Case, backends []string) bool {
	for _, backend := range backends {
		lines := c.RouteState(lavcluster.HopSides, backend).HeldLines
		if slices.ContainsFunc(lines, func(line string) bool { return strings.HasPrefix(line, "POST /attempt") }) {
			c.Backend = backend
			return true
		}
	}
	return false
}

// releaseRoutes releases the routes that are still held. Routes that the fault has cut or silenced stay as they are.
func releaseRoutes(c *Case, backends []string) {
	for _, backend := range backends {
		if c.RouteState(lavcluster.HopSides, backend).Mode == string(lavrelay.Hold) {
			c.SetRoute(lavcluster.HopSides, backend, lavrelay.Pass)
		}
	}
}

// beginLedgerHeld returns a begin function that holds the platform call which writes the ledger row, or its reply.
func beginLedgerHeld(kind lavfault.Kind) func(c *Case) {
	return func(c *Case) {
		c.SetPlatformFaults(lavfault.Fault{Kind: kind, Step: lavtruth.StepInsert, Table: tableLedger})
		c.sendMain(lavcluster.Submit)
	}
}

// ledgerRowIsHeld reports whether the ledger row of the main request is held, and sets c.Backend from the row's holder.
func ledgerRowIsHeld(c *Case) bool {
	for _, held := range c.PlatformTruth().Holding {
		if held.Table != tableLedger || !strings.Contains(held.Key, string(c.MainRequest.ID)) {
			continue
		}
		var row struct{ Holder string }
		if json.Unmarshal(held.Value, &row) == nil {
			if backend, ok := c.BackendByAddress(row.Holder); ok {
				c.Backend = backend
			}
		}
		return true
	}
	return false
}

// releaseStoreCalls releases the held platform calls and keeps the platform faults of the cell's own fault.
func releaseStoreCalls(c *Case) {
	c.SetPlatformFaults(c.Fault.platform...)
}

// backendStep holds the main request at a step of the backend server that runs it.
func backendStep(name string, step lavtruth.Step, kind lavcluster.Kind) Step {
	backends := lavcluster.Services()
	if kind == lavcluster.Stream {
		backends = lavcluster.Engines()
	}
	return Step{
		Name:          name,
		MayBeInDoubt:  kind == lavcluster.Submit,
		backendServer: backends[0],
		begin: func(c *Case) {
			for _, backend := range backends {
				c.SetBackendFaults(backend, lavfault.Fault{Kind: lavfault.Hold, Step: step, Count: 1})
			}
			c.sendMain(kind)
		},
		isHeld: func(c *Case) bool { return backendHoldsRequest(c, backends) },
		release: func(c *Case) {
			for _, backend := range backends {
				c.ReleaseBackend(backend)
			}
		},
	}
}

// backendHoldsRequest reports whether a backend server holds the main request, and releases the other backend servers.
func backendHoldsRequest(c *Case, backends []string) bool {
	for _, backend := range backends {
		truth, err := c.BackendTruth(backend)
		if err != nil || !slices.ContainsFunc(truth.Holding, func(held lavtruth.HeldCall) bool { return held.Request == c.MainRequest.ID }) {
			continue
		}
		c.Backend = backend
		for _, other := range backends {
			if other != backend {
				c.ReleaseBackend(other)
			}
		}
		return true
	}
	return false
}

// beginBillHeld sends a stream while the platform holds the write of its bill.
func beginBillHeld(c *Case) {
	c.SetPlatformFaults(lavfault.Fault{Kind: lavfault.Hold, Step: lavtruth.StepInsert, Table: tableBill})
	c.sendMain(lavcluster.Stream)
}

// billIsHeld reports whether the platform holds the write of a bill.
func billIsHeld(c *Case) bool {
	return slices.ContainsFunc(c.PlatformTruth().Holding, func(held lavtruth.HeldCall) bool { return held.Table == tableBill })
}

// beginAnswered sends the main request and waits until it is answered.
func beginAnswered(c *Case) {
	c.sendMain(lavcluster.Submit)
	reply := <-c.firstReply
	if !reply.IsComplete() {
		c.T.Errorf("the main request was not answered although no fault was applied: %s", reply)
	}
}

// leavingWatchTime is how long traffic is sent after a server started to leave, in addition to the fault and propagation.
const leavingWatchTime = 5 * time.Second

// newPatchID returns an ID that no other patch of this process has.
func newPatchID() lavid.PatchID {
	return lavid.PatchID(lavcluster.NewRequestID("patch"))
}
