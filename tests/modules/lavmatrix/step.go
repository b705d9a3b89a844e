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

// Step is one row of the matrix: a point on the way of a request at which it can be held.
type Step struct {
	Name string
	// NotApplicable is the reason why the step cannot be told from its neighbours, or empty.
	NotApplicable string
	// MayBeDoubtful says that a call may have been sent to the backend server at this step.
	MayBeDoubtful bool
	// ConfigStep says that the main request is a patch, Leaves that a server leaves.
	ConfigStep bool
	Leaves     bool
	// Shutdown says that the step ends a process gracefully.
	Shutdown bool

	// hold keeps the main request longer at the step than the fault asks for.
	hold    time.Duration
	main    string
	begin   func(c *Case)
	parked  func(c *Case) bool
	release func(c *Case)
	settle  func(c *Case) []Violation
}

// options describe engines that start cold and take long enough for an answer to be met by a fault.
func options() lavcluster.Options {
	return lavcluster.Options{
		EngineArgs: []string{
			"--tokens", "40", "--between-tokens", "4ms",
			"--capacity", "16", "--cold-capacity", "4", "--warm-up", "2s",
		},
		ServiceArgs: []string{"--latency", "20ms"},
	}
}

func (s Step) backend() string {
	if s.main == lavcluster.Engine1 {
		return lavcluster.Engine1
	}
	return lavcluster.Claims1
}

const (
	tableLedger = "Ledger"
	tableBill   = "Bill"
	tableConfig = "Config"
)

// Steps returns the rows of the matrix in order.
func Steps() []Step {
	steps := []Step{
		{Name: "accepted", begin: beginAccepted, parked: func(c *Case) bool { return c.body.isReached() }, release: func(c *Case) { c.body.release() }},
		{Name: "planned", NotApplicable: "planning sends nothing; seen from outside it is the step accepted"},
		{Name: "server chosen", NotApplicable: "the choice sends nothing; seen from outside it is the step attempt sent"},
		sentStep("attempt sent", lavcluster.Submit, lavcluster.Services()),
		sentStep("stream sent", lavcluster.Stream, lavcluster.Engines()),
		{Name: "admitted", MayBeDoubtful: true, begin: beginHeldLedger(lavfault.Hold), parked: parkedLedger, release: releasePlatform},
		{Name: "intent written", MayBeDoubtful: true, begin: beginHeldLedger(lavfault.HoldReply), parked: parkedLedger, release: releasePlatform},
		backendStep("dispatched", lavtruth.StepArrive, lavcluster.Submit),
		backendStep("work done", lavtruth.StepRan, lavcluster.Submit),
		backendStep("half answered", lavtruth.StepHalf, lavcluster.Submit),
		backendStep("half streamed", lavtruth.StepHalf, lavcluster.Stream),
		backendStep("end frame", lavtruth.StepEnd, lavcluster.Stream),
		{Name: "billed", main: lavcluster.Engine1, begin: beginHeldBill, parked: parkedBill, release: releasePlatform},
		{Name: "answered", MayBeDoubtful: true, begin: beginAnswered},
	}
	return append(steps, operatorSteps()...)
}

func beginAccepted(c *Case) {
	c.body = newHeldBody()
	c.send(lavcluster.Submit)
}

// sentStep holds the attempt in the relay in front of the side process.
func sentStep(name string, kind lavcluster.Kind, backends []string) Step {
	return Step{
		Name: name,
		main: backends[0],
		begin: func(c *Case) {
			for _, backend := range backends {
				c.SetRoute(lavcluster.HopSides, backend, lavrelay.Hold)
			}
			c.send(kind)
		},
		parked:  func(c *Case) bool { return parkedAttempt(c, backends) },
		release: func(c *Case) { releaseRoutes(c, backends) },
	}
}

func parkedAttempt(c *Case, backends []string) bool {
	for _, backend := range backends {
		lines := c.Route(lavcluster.HopSides, backend).HeldLines
		if slices.ContainsFunc(lines, func(line string) bool { return strings.HasPrefix(line, "POST /attempt") }) {
			c.Backend = backend
			return true
		}
	}
	return false
}

// releaseRoutes lets go of the hops that are still held, and leaves those that the fault has cut or silenced.
func releaseRoutes(c *Case, backends []string) {
	for _, backend := range backends {
		if c.Route(lavcluster.HopSides, backend).Mode == string(lavrelay.Hold) {
			c.SetRoute(lavcluster.HopSides, backend, lavrelay.Pass)
		}
	}
}

func beginHeldLedger(kind lavfault.Kind) func(c *Case) {
	return func(c *Case) {
		c.PlatformFaults(lavfault.Fault{Kind: kind, Step: lavtruth.StepInsert, Table: tableLedger})
		c.send(lavcluster.Submit)
	}
}

// parkedLedger finds the held row of the main request, and from its holder the backend server.
func parkedLedger(c *Case) bool {
	for _, held := range c.PlatformTruth().Holding {
		if held.Table != tableLedger || !strings.Contains(held.Key, string(c.Main.ID)) {
			continue
		}
		var row struct{ Holder string }
		if json.Unmarshal(held.Value, &row) == nil {
			if backend, ok := c.BackendOfAddress(row.Holder); ok {
				c.Backend = backend
			}
		}
		return true
	}
	return false
}

// releasePlatform lets the held calls go on and leaves the faults that were added since.
func releasePlatform(c *Case) {
	c.PlatformFaults(c.Fault.platform...)
}

// backendStep holds the main request at a step of the backend server that serves it.
func backendStep(name string, step lavtruth.Step, kind lavcluster.Kind) Step {
	backends := lavcluster.Services()
	if kind == lavcluster.Stream {
		backends = lavcluster.Engines()
	}
	return Step{
		Name:          name,
		MayBeDoubtful: kind == lavcluster.Submit,
		main:          backends[0],
		begin: func(c *Case) {
			for _, backend := range backends {
				c.BackendFaults(backend, lavfault.Fault{Kind: lavfault.Hold, Step: step, Count: 1})
			}
			c.send(kind)
		},
		parked: func(c *Case) bool { return parkedBackend(c, backends) },
		release: func(c *Case) {
			for _, backend := range backends {
				c.ReleaseBackend(backend)
			}
		},
	}
}

// parkedBackend finds the backend server that holds the main request, and takes the hold off the others.
func parkedBackend(c *Case, backends []string) bool {
	for _, backend := range backends {
		truth, err := c.BackendTruth(backend)
		if err != nil || !slices.ContainsFunc(truth.Holding, func(held lavtruth.HeldCall) bool { return held.Request == c.Main.ID }) {
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

func beginHeldBill(c *Case) {
	c.PlatformFaults(lavfault.Fault{Kind: lavfault.Hold, Step: lavtruth.StepInsert, Table: tableBill})
	c.send(lavcluster.Stream)
}

func parkedBill(c *Case) bool {
	return slices.ContainsFunc(c.PlatformTruth().Holding, func(held lavtruth.HeldCall) bool { return held.Table == tableBill })
}

// beginAnswered waits until the main request has its answer.
func beginAnswered(c *Case) {
	c.send(lavcluster.Submit)
	reply := <-c.first
	if !reply.Whole() {
		c.T.Errorf("main request is not answered without a fault: %s", reply)
	}
}

// leaveTime is how long a leaving server is watched.
const leaveTime = 5 * time.Second

func newPatchID() lavid.PatchID {
	return lavid.PatchID(lavcluster.NewRequestID("patch"))
}
