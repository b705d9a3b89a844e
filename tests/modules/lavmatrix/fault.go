package lavmatrix

import (
	"time"

	"lavenderswitch/core/modules/lavsettings"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
	"lavenderswitch/fake/services/lavrelay"
	"lavenderswitch/tests/modules/lavcluster"
)

// Fault is one column of the matrix.
type Fault struct {
	Name string
	// LosesOutcome means that the fault may lose the outcome of a running call.
	LosesOutcome bool
	// platform holds the platform faults that must stay active when a held platform call is released.
	platform []lavfault.Fault
	// apply starts the fault and heal, if set, ends it.
	apply func(c *Case)
	heal  func(c *Case)
	// hold is how long the main request stays held after the fault was applied; zero means defaultHold.
	hold time.Duration
}

func (f Fault) holdDuration() time.Duration {
	if f.hold == 0 {
		return defaultHold
	}
	return f.hold
}

const (
	// noFault is the name of the column without a fault.
	noFault = "none"
	// defaultHold is how long the main request stays held under a fault that sets no hold time.
	defaultHold = 300 * time.Millisecond
	// slowStoreDelay is the delay of each platform call.
	slowStoreDelay = 700 * time.Millisecond
	// lateWriteDelay is the time after which a write without a reply takes effect.
	lateWriteDelay = time.Second
	// hostListLag is how long changes of the host list stay invisible.
	hostListLag = 2 * time.Second
	// coldDuration is how long engines stay cold.
	coldDuration = 3 * time.Second
	// unseenDuration is how long a side process stays frozen while its data centre goes out of service. It exceeds
	// propagationLimit, so a request released afterwards must not start there.
	unseenDuration = propagationLimit + 500*time.Millisecond
)

// entryOf, sideOf and backendOf return the process that a fault targets.
func entryOf(c *Case) string   { return c.Entry }
func sideOf(c *Case) string    { return lavcluster.SideOf(c.Backend) }
func backendOf(c *Case) string { return c.Backend }

// Faults returns the columns of the matrix in report order.
func Faults() []Fault {
	faults := []Fault{
		{Name: noFault, apply: func(*Case) {}},
		killFault("kill entry", entryOf),
		losesOutcome(killFault("kill side", sideOf)),
		losesOutcome(killBackendFault()),
		freezeFault("freeze entry", entryOf),
		freezeFault("freeze side", sideOf),
		freezeFault("freeze backend", backendOf),
	}
	for _, hop := range []lavcluster.Hop{lavcluster.HopCallers, lavcluster.HopSides, lavcluster.HopBackends, lavcluster.HopEntryStore, lavcluster.HopSideStore, lavcluster.HopPeers} {
		faults = append(faults, routeFault("cut ", hop, lavrelay.CutOnce), routeFault("silent ", hop, lavrelay.SilentExisting))
	}
	faults = append(faults,
		storeFault("store down", lavfault.Fault{Kind: lavfault.Down}),
		storeFault("store slow", lavfault.Fault{Kind: lavfault.Slow, Delay: lavsettings.Duration{Duration: slowStoreDelay}}),
		storeFault("reply lost", lavfault.Fault{Kind: lavfault.ReplyLost, Step: lavtruth.StepInsert}, lavfault.Fault{Kind: lavfault.ReplyLost, Step: lavtruth.StepSwap}),
		storeFault("late write", lateWriteFault(lavtruth.StepInsert), lateWriteFault(lavtruth.StepSwap)),
	)
	return append(faults, operatorFaults()...)
}

// lateWriteFault returns a platform fault that breaks the connection and applies the write after lateWriteDelay.
func lateWriteFault(step lavtruth.Step) lavfault.Fault {
	return lavfault.Fault{Kind: lavfault.LateWrite, Step: step, Delay: lavsettings.Duration{Duration: lateWriteDelay}}
}

// killFault kills a process. After the fault it starts the process again and sends a burst of chats.
func killFault(name string, target func(c *Case) string) Fault {
	return Fault{
		Name:  name,
		apply: func(c *Case) { c.Process(target(c)).Kill() },
		heal: func(c *Case) {
			if err := c.Process(target(c)).Start(); err != nil {
				c.T.Error(err)
			}
			c.sendBurst()
		},
	}
}

// killBackendFault kills the backend server and closes the relay's listener for it. Without the relay, the kernel would
// refuse connections to the dead process; an open listener would accept them.
func killBackendFault() Fault {
	fault := killFault("kill backend", backendOf)
	kill, start := fault.apply, fault.heal
	fault.apply = func(c *Case) {
		c.SetRoute(lavcluster.HopBackends, backendOf(c), lavrelay.Refuse)
		kill(c)
	}
	fault.heal = func(c *Case) {
		c.SetRoute(lavcluster.HopBackends, backendOf(c), lavrelay.Pass)
		start(c)
	}
	return fault
}

// losesOutcome returns the fault marked as one that may lose the outcome of a running call.
func losesOutcome(fault Fault) Fault {
	fault.LosesOutcome = true
	return fault
}

// freezeFault suspends a process until the fault is healed. The main request is released meanwhile, so that the process
// resumes with stale state.
func freezeFault(name string, target func(c *Case) string) Fault {
	return Fault{
		Name:  name,
		apply: func(c *Case) { c.Process(target(c)).Suspend() },
		heal:  func(c *Case) { c.Process(target(c)).Resume() },
	}
}

// routeFault changes the relay mode of a hop, at the backend server of the main request or at the entry host that received
// it.
func routeFault(verb string, hop lavcluster.Hop, mode lavrelay.Mode) Fault {
	host := backendOf
	if hop == lavcluster.HopCallers || hop == lavcluster.HopEntryStore || hop == lavcluster.HopPeers {
		host = entryOf
	}
	return Fault{
		Name:         verb + string(hop),
		LosesOutcome: hop == lavcluster.HopBackends,
		apply:        func(c *Case) { c.SetRoute(hop, host(c), mode) },
	}
}

// storeFault applies faults to the calls of the platform. A fault without a step also affects the host list and the rating
// service.
func storeFault(name string, faults ...lavfault.Fault) Fault {
	return Fault{
		Name:     name,
		platform: faults,
		apply:    func(c *Case) { c.AddPlatformFaults(faults...) },
		heal:     func(c *Case) { c.SetPlatformFaults() },
	}
}

// operatorFaults returns the columns in which an operator, the host list or the engines change something while a request
// runs.
func operatorFaults() []Fault {
	return []Fault{
		{
			Name:  "host list late",
			apply: func(c *Case) { c.SetHostListLag(lavsettings.Duration{Duration: hostListLag}); c.MarkLeaving(c.Backend) },
			heal:  func(c *Case) { c.AddEvent(Event{Kind: ServerLeaving, Name: c.Backend, At: time.Now()}) },
		},
		{Name: "operators racing", apply: raceOperators},
		{Name: "version withdrawn", apply: func(c *Case) {
			c.applyPatch(VersionWithdrawn, string(lavcluster.Version1), lavcluster.WithdrawVersion(lavcluster.Version1))
		}},
		{Name: "data centre out", apply: func(c *Case) {
			dataCentre := lavcluster.DataCentreOf(c.Backend)
			c.applyPatch(DataCentreOut, string(dataCentre), lavcluster.EvacuateDataCentre(dataCentre))
		}},
		{
			Name: "data centre out unseen",
			hold: unseenDuration,
			apply: func(c *Case) {
				c.Process(sideOf(c)).Suspend()
				dataCentre := lavcluster.DataCentreOf(c.Backend)
				c.applyPatch(DataCentreOut, string(dataCentre), lavcluster.EvacuateDataCentre(dataCentre))
			},
			heal: func(c *Case) { c.Process(sideOf(c)).Resume() },
		},
		{Name: "prices changed", apply: func(c *Case) {
			c.applyPatch(ConfigAccepted, "prices", lavcluster.SetPrices(lavcluster.Version2, 0, 1))
		}},
		{Name: "turned cold", apply: func(c *Case) {
			for _, engine := range lavcluster.Engines() {
				c.AddBackendFaults(engine, lavfault.Fault{Kind: lavfault.Cold, Delay: lavsettings.Duration{Duration: coldDuration}})
			}
			c.AddEvent(Event{Kind: TurnedCold, At: time.Now()})
			c.sendBurst()
		}},
	}
}

// patchTimeout limits the attempts to submit an operator's patch when another patch changes the configuration first.
const patchTimeout = 5 * time.Second

// applyPatch submits a patch until it is accepted, rereading the configuration each time, and records the events.
func (c *Case) applyPatch(kind EventKind, name string, operations []lavcluster.Operation) {
	patch := newPatchID()
	var result lavcluster.PatchResult
	accepted := lavcluster.Poll(patchTimeout, func() bool {
		document, err := c.Document(c.OtherEntry)
		if err != nil {
			return false
		}
		result = c.SubmitPatch(c.OtherEntry, patch, document.Number, operations)
		c.AddPatchResult(result)
		return result.Accepted()
	})
	if !accepted {
		c.T.Errorf("the operator's patch was not accepted: %s", result)
		return
	}
	now := time.Now()
	c.AddEvent(Event{Kind: kind, Name: name, Number: result.Number, At: now})
	c.AddEvent(Event{Kind: ConfigAccepted, Number: result.Number, At: now})
}

// raceOperators submits two patches based on the same configuration at two entry hosts at once.
func raceOperators(c *Case) {
	document, err := c.Document(c.OtherEntry)
	if err != nil {
		c.T.Errorf("read the configuration: %v", err)
		return
	}
	for i, entry := range lavcluster.Entries() {
		c.goroutines.Go(func() {
			result := c.SubmitPatch(entry, newPatchID(), document.Number, lavcluster.SetWeight(float64(i+2)))
			c.AddPatchResult(result)
			if result.Accepted() {
				c.AddEvent(Event{Kind: ConfigAccepted, Number: result.Number, At: time.Now()})
			}
		})
	}
}
