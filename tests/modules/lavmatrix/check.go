package lavmatrix

import (
	"fmt"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/tests/modules/lavcluster"
)

// Point is one of the guarantees.
type Guarantee string

// The guarantees that every cell checks.
const (
	AllowedVersion      Guarantee = "1 allowed version"
	WithdrawnVersion    Guarantee = "2 withdrawn version"
	SessionVersion      Guarantee = "3 session version"
	BilledOnce          Guarantee = "4 billed once"
	LoadWithinCapacity  Guarantee = "5 bearable load"
	EvacuatedDataCentre Guarantee = "6 data centre out"
	CompleteAnswer      Guarantee = "7 whole answer"
	TruthfulNotRun      Guarantee = "8 not run is true"
	AtMostOnce          Guarantee = "9 at most once"
	LeavingServer       Guarantee = "10 leaving server"
	GracefulShutdown    Guarantee = "11 graceful shutdown"
	ConfigPropagation   Guarantee = "12 configuration"
	// Lost says that a request was never answered.
	NoRequestLost Guarantee = "no request lost"
	// Harness says that the case could not be run as meant.
	HarnessFailure Guarantee = "harness"
)

// Violation is one guarantee that did not hold.
type Violation struct {
	Guarantee Guarantee
	Text      string
}

// String returns the point and what was seen.
func (v Violation) String() string {
	return string(v.Guarantee) + ": " + v.Text
}

// inForce is how soon something accepted has to hold everywhere.
const propagationLimit = 4 * time.Second

// noticeCold is how soon a side process notices that its engine turned cold.
const coldNoticeLimit = 2 * time.Second

// billLimit is how soon after the fault the last bill has to be written.
const billTimeout = 8 * time.Second

// facts are the ground truth against which the record is checked.
type groundTruth struct {
	platform lavtruth.Platform
	backends map[string]lavtruth.Backend
	accounts map[lavid.RequestID]lavid.AccountID
}

// check compares the record with the ground truth, for every guarantee.
func (c *Case) check() []Violation {
	lavcluster.Poll(billTimeout, func() bool { return len(c.checkBills(c.PlatformTruth())) == 0 })
	truth := groundTruth{platform: c.PlatformTruth(), backends: make(map[string]lavtruth.Backend), accounts: make(map[lavid.RequestID]lavid.AccountID)}
	var violations []Violation
	for _, backend := range lavcluster.Backends() {
		backendTruth, err := c.BackendTruth(backend)
		if err != nil {
			violations = append(violations, Violation{Guarantee: HarnessFailure, Text: err.Error()})
		}
		truth.backends[backend] = backendTruth
	}
	for id, tries := range c.requests() {
		truth.accounts[id] = tries[0].Request.Account
	}
	violations = append(violations, c.checkRuns(truth)...)
	violations = append(violations, c.checkReplies(truth)...)
	violations = append(violations, c.checkSessions()...)
	violations = append(violations, c.checkBills(truth.platform)...)
	violations = append(violations, c.checkShutdowns()...)
	return append(violations, c.checkConfig(truth.platform)...)
}

// checkRuns checks the work of every backend server: points 1, 2, 5, 6, 9 and 10.
func (c *Case) checkRuns(truth groundTruth) []Violation {
	var violations []Violation
	submits := make(map[lavid.RequestID]int)
	for backend, backendTruth := range truth.backends {
		for _, run := range backendTruth.Runs {
			account, known := truth.accounts[run.Request]
			if known && run.Version != "" && !lavcluster.IsAllowed(account, run.Version) {
				violations = append(violations, Violation{AllowedVersion, fmt.Sprintf("%s of %s ran on %s", run.Request, account, run.Version)})
			}
			if run.Capacity > 0 && run.Running > run.Capacity && !c.mayBeColdUnnoticed(run.Arrived) {
				violations = append(violations, Violation{LoadWithinCapacity, fmt.Sprintf("%s ran %d and bears %d when %s came", backend, run.Running, run.Capacity, run.Request)})
			}
			violations = append(violations, c.checkForbiddenStarts(backend, run)...)
			if run.Path == "/submit" {
				submits[run.Request]++
			}
		}
	}
	for request, count := range submits {
		if count > 1 {
			violations = append(violations, Violation{AtMostOnce, fmt.Sprintf("%s ran %d times", request, count)})
		}
	}
	return violations
}

// coldUnnoticed tells whether engines turned cold without notice only a moment before.
func (c *Case) mayBeColdUnnoticed(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range c.events {
		if event.Kind == TurnedCold && at.Sub(event.At) < coldNoticeLimit {
			return true
		}
	}
	return false
}

// checkEvents checks that a run did not start where operators had forbidden it a few seconds before.
func (c *Case) checkForbiddenStarts(backend string, run lavtruth.Run) []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var violations []Violation
	for _, event := range c.events {
		late := run.Arrived.Sub(event.At)
		if late <= propagationLimit {
			continue
		}
		text := fmt.Sprintf("%s started at %s %s after %s %s", run.Request, backend, late.Round(time.Millisecond), event.Kind, event.Name)
		switch {
		case event.Kind == VersionWithdrawn && string(run.Version) == event.Name:
			violations = append(violations, Violation{WithdrawnVersion, text})
		case event.Kind == DataCentreOut && string(lavcluster.DataCentreOf(backend)) == event.Name:
			violations = append(violations, Violation{EvacuatedDataCentre, text})
		case event.Kind == ServerLeaving && backend == event.Name:
			violations = append(violations, Violation{LeavingServer, text})
		}
	}
	return violations
}

// checkReplies checks what callers were told: points 7 and 8.
func (c *Case) checkReplies(truth groundTruth) []Violation {
	var violations []Violation
	for id, tries := range c.requests() {
		runs := runsOf(truth, id)
		mayStillRun := false
		for i, try := range tries {
			if try.Corrupt {
				violations = append(violations, Violation{CompleteAnswer, try.String()})
			}
			if try.RunState == laverror.NotRun && !mayStillRun && ranBeforeNextTry(runs, tries, i) {
				violations = append(violations, Violation{TruthfulNotRun, try.String()})
			}
			if try.RunState != laverror.NotRun {
				mayStillRun = true
			}
		}
	}
	return violations
}

func runsOf(truth groundTruth, id lavid.RequestID) []lavtruth.Run {
	var runs []lavtruth.Run
	for _, backendTruth := range truth.backends {
		for _, run := range backendTruth.Runs {
			if run.Request == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

// ranUntil tells whether work of the request started before the caller's next try.
//
// Tries after one without a final answer are not judged, because its work may still start.
func ranBeforeNextTry(runs []lavtruth.Run, tries []lavcluster.Reply, i int) bool {
	for _, run := range runs {
		if i+1 >= len(tries) || run.Arrived.Before(tries[i+1].Sent) {
			return true
		}
	}
	return false
}

// checkSessions checks that the answers of a session name one version, or another only after a withdrawal: point 3.
func (c *Case) checkSessions() []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := make(map[lavid.SessionID]lavcluster.Reply)
	var violations []Violation
	for _, reply := range c.replies {
		session := reply.Request.Session
		if session == "" || !reply.IsComplete() || reply.Version == "" {
			continue
		}
		before, ok := versions[session]
		if ok && before.Version != reply.Version && !c.isWithdrawn(before.Version) {
			violations = append(violations, Violation{SessionVersion, fmt.Sprintf("%s moved from %s to %s", session, before.Version, reply.Version)})
		}
		versions[session] = reply
	}
	return violations
}

func (c *Case) isWithdrawn(version lavid.VersionID) bool {
	for _, event := range c.events {
		if event.Kind == VersionWithdrawn && event.Name == string(version) {
			return true
		}
	}
	return false
}

// checkGraceful checks that the requests which a shutdown met were answered whole: point 11.
func (c *Case) checkShutdowns() []Violation {
	var violations []Violation
	grouped := c.requests()
	for _, id := range c.mustComplete {
		tries := grouped[id]
		if len(tries) == 0 || !tries[0].IsComplete() {
			violations = append(violations, Violation{GracefulShutdown, fmt.Sprintf("%s was cut: %v", id, tries)})
		}
	}
	return violations
}
