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
	// LosesOutcome says that a running call's outcome may be lost with the fault.
	LosesOutcome bool
	platform     []lavfault.Fault
	apply        func(c *Case)
	heal         func(c *Case)
	// hold is how long the main request stays held after the fault.
	hold time.Duration
}

func (f Fault) holdTime() time.Duration {
	if f.hold == 0 {
		return defaultHold
	}
	return f.hold
}

const (
	// noFault names the column without a fault.
	noFault     = "none"
	defaultHold = 300 * time.Millisecond
	// slowStore delays each call of the platform.
	slowStore = 700 * time.Millisecond
	// lateWrite is when a write takes effect whose reply was lost.
	lateWrite = time.Second
	// lateHosts is the lag of a late host list.
	lateHosts = 2 * time.Second
	coldTime  = 3 * time.Second
	// unseenTime is how long a side process stays frozen while its data centre goes out of service.
	unseenTime = inForce + 500*time.Millisecond
)

func entryOf(c *Case) string   { return c.Entry }
func sideOf(c *Case) string    { return lavcluster.SideOf(c.Backend) }
func backendOf(c *Case) string { return c.Backend }

// Faults returns the columns of the matrix in order.
func Faults() []Fault {
	faults := []Fault{
		{Name: noFault, apply: func(*Case) {}},
		killFault("kill entry", entryOf),
		losesOutcome(killFault("kill side", sideOf)),
		losesOutcome(killBackend()),
		freezeFault("freeze entry", entryOf),
		freezeFault("freeze side", sideOf),
		freezeFault("freeze backend", backendOf),
	}
	for _, hop := range []lavcluster.Hop{lavcluster.HopCallers, lavcluster.HopSides, lavcluster.HopBackends, lavcluster.HopEntryStore, lavcluster.HopSideStore, lavcluster.HopPeers} {
		faults = append(faults, routeFault("cut ", hop, lavrelay.CutOnce), routeFault("silent ", hop, lavrelay.SilentExisting))
	}
	faults = append(faults,
		storeFault("store down", lavfault.Fault{Kind: lavfault.Down}),
		storeFault("store slow", lavfault.Fault{Kind: lavfault.Slow, Delay: lavsettings.Duration{Duration: slowStore}}),
		storeFault("reply lost", lavfault.Fault{Kind: lavfault.ReplyLost, Step: lavtruth.StepInsert}, lavfault.Fault{Kind: lavfault.ReplyLost, Step: lavtruth.StepSwap}),
		storeFault("late write", lateFault(lavtruth.StepInsert), lateFault(lavtruth.StepSwap)),
	)
	return append(faults, operatorFaults()...)
}

func lateFault(step lavtruth.Step) lavfault.Fault {
	return lavfault.Fault{Kind: lavfault.LateWrite, Step: step, Delay: lavsettings.Duration{Duration: lateWrite}}
}

func killFault(name string, target func(c *Case) string) Fault {
	return Fault{
		Name:  name,
		apply: func(c *Case) { c.Process(target(c)).Kill() },
		heal: func(c *Case) {
			if err := c.Process(target(c)).Start(); err != nil {
				c.T.Error(err)
			}
			c.burst()
		},
	}
}

// killBackend also takes the relay's listener away, because the kernel refuses connections to a server that is gone.
func killBackend() Fault {
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

func losesOutcome(fault Fault) Fault {
	fault.LosesOutcome = true
	return fault
}

// freezeFault keeps the process frozen while the main request is released, so that it wakes late.
func freezeFault(name string, target func(c *Case) string) Fault {
	return Fault{
		Name:  name,
		apply: func(c *Case) { c.Process(target(c)).Suspend() },
		heal:  func(c *Case) { c.Process(target(c)).Resume() },
	}
}

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

func storeFault(name string, faults ...lavfault.Fault) Fault {
	return Fault{
		Name:     name,
		platform: faults,
		apply:    func(c *Case) { c.AddPlatformFaults(faults...) },
		heal:     func(c *Case) { c.PlatformFaults() },
	}
}

func operatorFaults() []Fault {
	return []Fault{
		{
			Name:  "host list late",
			apply: func(c *Case) { c.SetHostsLag(lavsettings.Duration{Duration: lateHosts}); c.MarkLeaving(c.Backend) },
			heal:  func(c *Case) { c.AddEvent(Event{Kind: ServerLeaving, Name: c.Backend, At: time.Now()}) },
		},
		{Name: "operators racing", apply: race},
		{Name: "version withdrawn", apply: func(c *Case) {
			c.operate(VersionWithdrawn, string(lavcluster.Version1), lavcluster.Withdraw(lavcluster.Version1))
		}},
		{Name: "data centre out", apply: func(c *Case) {
			dataCentre := lavcluster.DataCentreOf(c.Backend)
			c.operate(DataCentreOut, string(dataCentre), lavcluster.TakeOut(dataCentre))
		}},
		{
			Name: "data centre out unseen",
			hold: unseenTime,
			apply: func(c *Case) {
				c.Process(sideOf(c)).Suspend()
				dataCentre := lavcluster.DataCentreOf(c.Backend)
				c.operate(DataCentreOut, string(dataCentre), lavcluster.TakeOut(dataCentre))
			},
			heal: func(c *Case) { c.Process(sideOf(c)).Resume() },
		},
		{Name: "prices changed", apply: func(c *Case) {
			c.operate(ConfigAccepted, "prices", lavcluster.SetPrices(lavcluster.Version2, 0, 1))
		}},
		{Name: "turned cold", apply: func(c *Case) {
			for _, engine := range lavcluster.Engines() {
				c.AddBackendFaults(engine, lavfault.Fault{Kind: lavfault.Cold, Delay: lavsettings.Duration{Duration: coldTime}})
			}
			c.AddEvent(Event{Kind: TurnedCold, At: time.Now()})
			c.burst()
		}},
	}
}

// operateLimit bounds the tries of an operator's patch that met a newer configuration.
const operateLimit = 5 * time.Second

// operate submits a patch until it meets the present configuration, and records when it is accepted.
func (c *Case) operate(kind EventKind, name string, operations []lavcluster.Operation) {
	patch := newPatchID()
	var submitted lavcluster.Submitted
	accepted := lavcluster.Poll(operateLimit, func() bool {
		document, err := c.Document(c.Other)
		if err != nil {
			return false
		}
		submitted = c.Submit(c.Other, patch, document.Number, operations)
		c.AddSubmit(submitted)
		return submitted.Accepted()
	})
	if !accepted {
		c.T.Errorf("operator's patch is not accepted: %s", submitted)
		return
	}
	now := time.Now()
	c.AddEvent(Event{Kind: kind, Name: name, Number: submitted.Number, At: now})
	c.AddEvent(Event{Kind: ConfigAccepted, Number: submitted.Number, At: now})
}

// race submits two patches against the same configuration at two entry hosts at once.
func race(c *Case) {
	document, err := c.Document(c.Other)
	if err != nil {
		c.T.Errorf("read the configuration: %v", err)
		return
	}
	for i, entry := range lavcluster.Entries() {
		c.work.Go(func() {
			submitted := c.Submit(entry, newPatchID(), document.Number, lavcluster.SetWeight(float64(i+2)))
			c.AddSubmit(submitted)
			if submitted.Accepted() {
				c.AddEvent(Event{Kind: ConfigAccepted, Number: submitted.Number, At: time.Now()})
			}
		})
	}
}
