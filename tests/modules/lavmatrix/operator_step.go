package lavmatrix

import (
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
	"lavenderswitch/tests/modules/lavcluster"
)

// operatorSteps are the rows that begin with an operator.
func operatorSteps() []Step {
	return []Step{
		{Name: "configuration accepted", ConfigStep: true, begin: beginHeldConfig, parked: parkedConfig, release: releasePlatform, settle: settlePatch},
		{Name: "configuration spread", ConfigStep: true, begin: beginSpread, settle: settlePatch},
		{Name: "configuration adopted", ConfigStep: true, begin: beginAdopted, settle: settlePatch},
		{Name: "leaving", Leaves: true, MayBeDoubtful: true, main: lavcluster.Claims1, begin: beginLeaving},
		shutdownStep("shutdown of entry", func(c *Case) string { return c.Entry }),
		shutdownStep("shutdown of side", func(c *Case) string { return lavcluster.SideOf(c.Backend) }),
	}
}

// patch is the withdrawal that the configuration steps submit.
func (c *Case) patch() []lavcluster.Operation {
	return lavcluster.Withdraw(lavcluster.Version1)
}

// submit sends the main patch and records the withdrawal when it is accepted.
func (c *Case) submit(entry string, patch lavid.PatchID, base lavid.ConfigNumber) lavcluster.Submitted {
	submitted := c.Submit(entry, patch, base, c.patch())
	c.AddSubmit(submitted)
	if submitted.Accepted() {
		c.withdrawn(submitted.Number)
	}
	return submitted
}

func (c *Case) withdrawn(number lavid.ConfigNumber) {
	now := time.Now()
	c.AddEvent(Event{Kind: VersionWithdrawn, Name: string(lavcluster.Version1), Number: number, At: now})
	c.AddEvent(Event{Kind: ConfigAccepted, Number: number, At: now})
}

const mainPatch lavid.PatchID = "main-patch"

func beginHeldConfig(c *Case) {
	c.PlatformFaults(lavfault.Fault{Kind: lavfault.HoldReply, Step: lavtruth.StepInsert, Table: tableConfig, Count: 1})
	c.work.Go(func() { c.submit(c.Entry, mainPatch, 1) })
}

func parkedConfig(c *Case) bool {
	for _, held := range c.PlatformTruth().Holding {
		if held.Table == tableConfig {
			return true
		}
	}
	return false
}

// beginSpread submits the patch, so that the fault comes at once after its acceptance.
func beginSpread(c *Case) {
	if submitted := c.submit(c.Entry, mainPatch, 1); !submitted.Accepted() {
		c.T.Errorf("patch is not accepted without a fault: %s", submitted)
	}
}

// beginAdopted waits until every entry host has the patch.
func beginAdopted(c *Case) {
	beginSpread(c)
	for _, entry := range lavcluster.Entries() {
		c.WaitFor(inForce, entry+" adopts the patch", func() bool {
			document, err := c.Document(entry)
			return err == nil && document.Number >= 2
		})
	}
}

// settlePatch repeats the main patch with its id until an entry host says whether it is accepted.
func settlePatch(c *Case) []Violation {
	if c.hasEvent(VersionWithdrawn) {
		return nil
	}
	entries := []string{c.Other, c.Entry}
	var last lavcluster.Submitted
	began := time.Now()
	for i := 0; time.Since(began) < settleLimit; i++ {
		last = c.submit(entries[i%len(entries)], mainPatch, 1)
		if last.Accepted() {
			return nil
		}
		time.Sleep(retryPause)
	}
	if c.otherWon() {
		return nil
	}
	if c.inStore(mainPatch) {
		c.withdrawn(last.Base + 1)
	}
	return []Violation{{Point: ConfigInForce, Text: "the patch is not settled after the fault: " + last.String()}}
}

func (c *Case) hasEvent(kind EventKind) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range c.events {
		if event.Kind == kind {
			return true
		}
	}
	return false
}

func (c *Case) inStore(patch lavid.PatchID) bool {
	for _, row := range configRows(c.PlatformTruth()) {
		if row.PatchID == patch {
			return true
		}
	}
	return false
}

// otherWon tells whether a racing patch took the number that the main patch was made for.
func (c *Case) otherWon() bool {
	for _, row := range configRows(c.PlatformTruth()) {
		if row.Document.Number == 2 {
			return row.PatchID != mainPatch
		}
	}
	return false
}

func beginLeaving(c *Case) {
	c.MarkLeaving(lavcluster.Claims1)
	c.AddEvent(Event{Kind: ServerLeaving, Name: lavcluster.Claims1, At: time.Now()})
	c.work.Go(func() {
		for began := time.Now(); time.Since(began) < leaveTime+faultTime+inForce; time.Sleep(retryPause) {
			request := lavcluster.Request{ID: lavcluster.NewRequestID("leaving"), Account: lavcluster.AccountBoth, Kind: lavcluster.Status, Patience: 5 * time.Second}
			c.AddReply(c.Send(c.background, c.Other, request))
			if c.background.Err() != nil {
				return
			}
		}
	})
	c.send(lavcluster.Submit)
}

// shutdownStep holds a stream half way and asks one process to end.
func shutdownStep(name string, process func(c *Case) string) Step {
	step := backendStep(name, lavtruth.StepHalf, lavcluster.Stream)
	step.Shutdown = true
	step.hold = shutdownHold
	parked := step.parked
	step.parked = func(c *Case) bool {
		if !parked(c) {
			return false
		}
		c.MustNotCut(c.Main.ID)
		c.Process(process(c)).Terminate()
		return true
	}
	step.settle = func(c *Case) []Violation {
		ending := c.Process(process(c))
		_, ended := ending.WaitExit(shutdownLimit)
		if !ended {
			return []Violation{{Point: GracefulShutdown, Text: ending.Name + " does not end after its last request"}}
		}
		c.T.Logf("%s ended", ending.Name)
		if err := ending.Start(); err != nil {
			return []Violation{{Point: Harness, Text: err.Error()}}
		}
		return nil
	}
	return step
}

// shutdownHold outlasts the time in which a process that ends still takes requests.
const shutdownHold = 3 * time.Second

// shutdownLimit is how soon a process ends once its last request is answered.
const shutdownLimit = 10 * time.Second
