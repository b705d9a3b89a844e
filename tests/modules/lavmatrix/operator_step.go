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
		{Name: "configuration accepted", ConfigStep: true, begin: beginPatchHeld, isHeld: patchIsHeld, release: releaseStoreCalls, finish: finishPatch},
		{Name: "configuration spread", ConfigStep: true, begin: beginPatchAccepted, finish: finishPatch},
		{Name: "configuration adopted", ConfigStep: true, begin: beginPatchPropagated, finish: finishPatch},
		{Name: "leaving", Leaves: true, MayBeInDoubt: true, backendServer: lavcluster.Claims1, begin: beginLeaving},
		shutdownStep("shutdown of entry", func(c *Case) string { return c.Entry }),
		shutdownStep("shutdown of side", func(c *Case) string { return lavcluster.SideOf(c.Backend) }),
	}
}

// patch is the withdrawal that the configuration steps submit.
func (c *Case) patchOperations() []lavcluster.Operation {
	return lavcluster.WithdrawVersion(lavcluster.Version1)
}

// submit sends the main patch and records the withdrawal when it is accepted.
func (c *Case) submitMainPatch(entry string, patch lavid.PatchID, base lavid.ConfigNumber) lavcluster.PatchResult {
	result := c.Submit(entry, patch, base, c.patchOperations())
	c.AddPatchResult(result)
	if result.Accepted() {
		c.recordWithdrawal(result.Number)
	}
	return result
}

func (c *Case) recordWithdrawal(number lavid.ConfigNumber) {
	now := time.Now()
	c.AddEvent(Event{Kind: VersionWithdrawn, Name: string(lavcluster.Version1), Number: number, At: now})
	c.AddEvent(Event{Kind: ConfigAccepted, Number: number, At: now})
}

const mainPatch lavid.PatchID = "main-patch"

func beginPatchHeld(c *Case) {
	c.SetPlatformFaults(lavfault.Fault{Kind: lavfault.HoldReply, Step: lavtruth.StepInsert, Table: tableConfig, Count: 1})
	c.goroutines.Go(func() { c.submitMainPatch(c.Entry, mainPatch, 1) })
}

func patchIsHeld(c *Case) bool {
	for _, held := range c.PlatformTruth().Holding {
		if held.Table == tableConfig {
			return true
		}
	}
	return false
}

// beginSpread submits the patch, so that the fault comes at once after its acceptance.
func beginPatchAccepted(c *Case) {
	if result := c.submitMainPatch(c.Entry, mainPatch, 1); !result.Accepted() {
		c.T.Errorf("patch is not accepted without a fault: %s", result)
	}
}

// beginAdopted waits until every entry host has the patch.
func beginPatchPropagated(c *Case) {
	beginPatchAccepted(c)
	for _, entry := range lavcluster.Entries() {
		c.WaitFor(propagationLimit, entry+" adopts the patch", func() bool {
			document, err := c.Document(entry)
			return err == nil && document.Number >= 2
		})
	}
}

// settlePatch repeats the main patch with its id until an entry host says whether it is accepted.
func finishPatch(c *Case) []Violation {
	if c.hasEvent(VersionWithdrawn) {
		return nil
	}
	entries := []string{c.OtherEntry, c.Entry}
	var last lavcluster.PatchResult
	began := time.Now()
	for i := 0; time.Since(began) < retryTimeout; i++ {
		last = c.submitMainPatch(entries[i%len(entries)], mainPatch, 1)
		if last.Accepted() {
			return nil
		}
		time.Sleep(retryInterval)
	}
	if c.otherPatchWon() {
		return nil
	}
	if c.isPatchStored(mainPatch) {
		c.recordWithdrawal(last.Base + 1)
	}
	return []Violation{{Guarantee: ConfigPropagation, Text: "the patch is not settled after the fault: " + last.String()}}
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

func (c *Case) isPatchStored(patch lavid.PatchID) bool {
	for _, row := range configRows(c.PlatformTruth()) {
		if row.PatchID == patch {
			return true
		}
	}
	return false
}

// otherWon tells whether a racing patch took the number that the main patch was made for.
func (c *Case) otherPatchWon() bool {
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
	c.goroutines.Go(func() {
		for began := time.Now(); time.Since(began) < leavingWatchTime+faultDuration+propagationLimit; time.Sleep(retryInterval) {
			request := lavcluster.Request{ID: lavcluster.NewRequestID("leaving"), Account: lavcluster.AccountBothVersions, Kind: lavcluster.Status, Timeout: 5 * time.Second}
			c.AddReply(c.Send(c.background, c.OtherEntry, request))
			if c.background.Err() != nil {
				return
			}
		}
	})
	c.sendMain(lavcluster.Submit)
}

// shutdownStep holds a stream half way and asks one process to end.
func shutdownStep(name string, process func(c *Case) string) Step {
	step := backendStep(name, lavtruth.StepHalf, lavcluster.Stream)
	step.Shutdown = true
	step.hold = shutdownHold
	isHeld := step.isHeld
	step.isHeld = func(c *Case) bool {
		if !isHeld(c) {
			return false
		}
		c.ExpectComplete(c.MainRequest.ID)
		c.Process(process(c)).Terminate()
		return true
	}
	step.finish = func(c *Case) []Violation {
		ending := c.Process(process(c))
		_, ended := ending.WaitExit(shutdownTimeout)
		if !ended {
			return []Violation{{Guarantee: GracefulShutdown, Text: ending.Name + " does not end after its last request"}}
		}
		c.T.Logf("%s ended", ending.Name)
		if err := ending.Start(); err != nil {
			return []Violation{{Guarantee: HarnessFailure, Text: err.Error()}}
		}
		return nil
	}
	return step
}

// shutdownHold outlasts the time in which a process that ends still takes requests.
const shutdownHold = 3 * time.Second

// shutdownLimit is how soon a process ends once its last request is answered.
const shutdownTimeout = 10 * time.Second
