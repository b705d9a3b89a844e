package lavmatrix

import (
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
	"lavenderswitch/tests/modules/lavcluster"
)

// operatorSteps returns the rows whose step is an operator's action: a patch, a leaving server or a shutdown.
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

// patchOperations returns the patch of the configuration steps, which withdraws Version1.
func (c *Case) patchOperations() []lavcluster.Operation {
	return lavcluster.WithdrawVersion(lavcluster.Version1)
}

// submitMainPatch submits the main patch and records the withdrawal if it is accepted.
func (c *Case) submitMainPatch(entry string, patch lavid.PatchID, base lavid.ConfigNumber) lavcluster.PatchResult {
	result := c.SubmitPatch(entry, patch, base, c.patchOperations())
	c.AddPatchResult(result)
	if result.Accepted() {
		c.recordWithdrawal(result.Number)
	}
	return result
}

// recordWithdrawal records that the withdrawal of Version1 was accepted as the given configuration number.
func (c *Case) recordWithdrawal(number lavid.ConfigNumber) {
	now := time.Now()
	c.AddEvent(Event{Kind: VersionWithdrawn, Name: string(lavcluster.Version1), Number: number, At: now})
	c.AddEvent(Event{Kind: ConfigAccepted, Number: number, At: now})
}

// mainPatch is the ID of the main patch of the configuration steps.
const mainPatch lavid.PatchID = "main-patch"

// initialNumber is the number of the initial configuration, on which the main patch is based.
const initialNumber lavid.ConfigNumber = 1

// beginPatchHeld submits the main patch while the platform holds the reply to the write of the patch.
func beginPatchHeld(c *Case) {
	c.SetPlatformFaults(lavfault.Fault{Kind: lavfault.HoldReply, Step: lavtruth.StepInsert, Table: tableConfig, Count: 1})
	c.goroutines.Go(func() { c.submitMainPatch(c.Entry, mainPatch, initialNumber) })
}

// patchIsHeld reports whether the platform holds the reply to the write of the patch.
func patchIsHeld(c *Case) bool {
	for _, held := range c.PlatformTruth().Holding {
		if held.Table == tableConfig {
			return true
		}
	}
	return false
}

// beginPatchAccepted submits the main patch, so that the fault is applied immediately after its acceptance.
func beginPatchAccepted(c *Case) {
	if result := c.submitMainPatch(c.Entry, mainPatch, initialNumber); !result.Accepted() {
		c.T.Errorf("the main patch was not accepted although no fault was applied: %s", result)
	}
}

// beginPatchPropagated submits the main patch and waits until it is in force at every entry host.
func beginPatchPropagated(c *Case) {
	beginPatchAccepted(c)
	for _, entry := range lavcluster.Entries() {
		c.WaitFor(propagationLimit, entry+" adopts the patch", func() bool {
			document, err := c.Document(entry)
			return err == nil && document.Number >= initialNumber+1
		})
	}
}

// finishPatch resubmits the main patch under the same ID until an entry host reports that it is accepted. It does
// nothing if the withdrawal is already recorded, and returns no violation if another patch was accepted first.
func finishPatch(c *Case) []Violation {
	if c.hasEvent(VersionWithdrawn) {
		return nil
	}
	entries := []string{c.OtherEntry, c.Entry}
	var last lavcluster.PatchResult
	began := time.Now()
	for i := 0; time.Since(began) < retryTimeout; i++ {
		last = c.submitMainPatch(entries[i%len(entries)], mainPatch, initialNumber)
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
	return []Violation{{Guarantee: ConfigPropagation, Text: "no entry host confirmed the patch after the fault: " + last.String()}}
}

// hasEvent reports whether an event of the kind was recorded.
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

// isPatchStored reports whether the platform stores the patch.
func (c *Case) isPatchStored(patch lavid.PatchID) bool {
	for _, row := range configRows(c.PlatformTruth()) {
		if row.PatchID == patch {
			return true
		}
	}
	return false
}

// otherPatchWon reports whether another patch is stored under the configuration number that follows initialNumber, so that
// the main patch can no longer be accepted.
func (c *Case) otherPatchWon() bool {
	for _, row := range configRows(c.PlatformTruth()) {
		if row.Document.Number == initialNumber+1 {
			return row.PatchID != mainPatch
		}
	}
	return false
}

// beginLeaving marks the backend server Claims1 as leaving, sends idempotent calls in the background, and sends the main
// request without holding it.
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

// shutdownStep holds a stream halfway and sends a termination signal to one process.
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
			return []Violation{{Guarantee: GracefulShutdown, Text: ending.Name + " did not exit after its last request"}}
		}
		c.T.Logf("%s exited", ending.Name)
		if err := ending.Start(); err != nil {
			return []Violation{{Guarantee: HarnessFailure, Text: err.Error()}}
		}
		return nil
	}
	return step
}

// shutdownHold is longer than the time in which a terminating process still accepts requests.
const shutdownHold = 3 * time.Second

// shutdownTimeout is the time within which a process must exit after its last request was answered.
const shutdownTimeout = 10 * time.Second
