package lavmatrix

import (
	"fmt"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/tests/modules/lavcluster"
)

// Guarantee names one property that the system must keep under every fault.
type Guarantee string

// The guarantees that are checked in every cell.
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
	// NoRequestLost is violated by a request that is never answered.
	NoRequestLost Guarantee = "no request lost"
	// HarnessFailure means that the test could not run the cell as planned.
	HarnessFailure Guarantee = "harness"
)

// Violation is an observation that contradicts a guarantee.
type Violation struct {
	Guarantee Guarantee
	Text      string
}

// String returns the guarantee and the observation.
func (v Violation) String() string {
	return string(v.Guarantee) + ": " + v.Text
}

// propagationLimit is the time after which an accepted change must be in force on every host.
const propagationLimit = 4 * time.Second

// coldNoticeLimit is the time within which a side process must detect that its engine has turned cold.
const coldNoticeLimit = 2 * time.Second

// billTimeout is the time after the fault within which the last bill must be written.
const billTimeout = 8 * time.Second

// groundTruth is what the fakes recorded. The observations of callers and operators are compared with it.
type groundTruth struct {
	platform lavtruth.Platform
	backends map[string]lavtruth.Backend
	accounts map[lavid.RequestID]lavid.AccountID
}

// check compares the recorded observations with the ground truth and returns the violations of all guarantees.
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
	for id, replies := range c.repliesByRequest() {
		truth.accounts[id] = replies[0].Request.Account
	}
	violations = append(violations, c.checkRuns(truth)...)
	violations = append(violations, c.checkReplies(truth)...)
	violations = append(violations, c.checkSessions()...)
	violations = append(violations, c.checkBills(truth.platform)...)
	violations = append(violations, c.checkShutdowns()...)
	return append(violations, c.checkConfig(truth.platform)...)
}

// checkRuns checks the requests that every backend server ran against guarantees 1, 2, 5, 6, 9 and 10.
func (c *Case) checkRuns(truth groundTruth) []Violation {
	var violations []Violation
	submitRuns := make(map[lavid.RequestID]int)
	for backend, backendTruth := range truth.backends {
		for _, run := range backendTruth.Runs {
			account, known := truth.accounts[run.Request]
			if known && run.Version != "" && !lavcluster.IsAllowed(account, run.Version) {
				violations = append(violations, Violation{AllowedVersion, fmt.Sprintf("%s of account %s ran on version %s", run.Request, account, run.Version)})
			}
			if run.Capacity > 0 && run.Running > run.Capacity && !c.mayBeColdUnnoticed(run.Arrived) {
				violations = append(violations, Violation{LoadWithinCapacity, fmt.Sprintf("%s ran %d requests with a capacity of %d when %s arrived", backend, run.Running, run.Capacity, run.Request)})
			}
			violations = append(violations, c.checkForbiddenStarts(backend, run)...)
			if run.Path == "/submit" {
				submitRuns[run.Request]++
			}
		}
	}
	for request, count := range submitRuns {
		if count > 1 {
			violations = append(violations, Violation{AtMostOnce, fmt.Sprintf("%s ran %d times", request, count)})
		}
	}
	return violations
}

// mayBeColdUnnoticed reports whether the engines turned cold less than coldNoticeLimit before the given time, so that side
// processes may not have detected it yet.
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

// checkForbiddenStarts checks that a run did not start on a version, data centre or server that had been taken out of use
// more than propagationLimit earlier.
func (c *Case) checkForbiddenStarts(backend string, run lavtruth.Run) []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var violations []Violation
	for _, event := range c.events {
		delay := run.Arrived.Sub(event.At)
		if delay <= propagationLimit {
			continue
		}
		text := fmt.Sprintf("%s started at %s %s after %s %s", run.Request, backend, delay.Round(time.Millisecond), event.Kind, event.Name)
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

// checkReplies checks the replies to callers against guarantees 7 and 8.
func (c *Case) checkReplies(truth groundTruth) []Violation {
	var violations []Violation
	for id, replies := range c.repliesByRequest() {
		runs := runsOf(truth, id)
		mayStillRun := false
		for i, reply := range replies {
			if reply.Corrupt {
				violations = append(violations, Violation{CompleteAnswer, reply.String()})
			}
			if reply.RunState == laverror.NotRun && !mayStillRun && ranBeforeNextAttempt(runs, replies, i) {
				violations = append(violations, Violation{TruthfulNotRun, reply.String()})
			}
			if reply.RunState != laverror.NotRun {
				mayStillRun = true
			}
		}
	}
	return violations
}

// runsOf returns the runs of a request at all backend servers.
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

// ranBeforeNextAttempt reports whether a run of the request started before the attempt that follows replies[i]; after the
// last attempt every run counts. checkReplies skips the attempts that follow one without a final answer, because that
// earlier attempt may still start a run.
func ranBeforeNextAttempt(runs []lavtruth.Run, replies []lavcluster.Reply, i int) bool {
	for _, run := range runs {
		if i+1 >= len(replies) || run.Arrived.Before(replies[i+1].Sent) {
			return true
		}
	}
	return false
}

// checkSessions checks guarantee 3: all answers of a session come from one version, unless that version was withdrawn.
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
			violations = append(violations, Violation{SessionVersion, fmt.Sprintf("session %s moved from version %s to %s", session, before.Version, reply.Version)})
		}
		versions[session] = reply
	}
	return violations
}

// isWithdrawn reports whether a withdrawal of the version was recorded. The caller holds c.mu.
func (c *Case) isWithdrawn(version lavid.VersionID) bool {
	for _, event := range c.events {
		if event.Kind == VersionWithdrawn && event.Name == string(version) {
			return true
		}
	}
	return false
}

// checkShutdowns checks guarantee 11: requests in progress at a graceful shutdown are answered completely.
func (c *Case) checkShutdowns() []Violation {
	var violations []Violation
	grouped := c.repliesByRequest()
	for _, id := range c.mustComplete {
		replies := grouped[id]
		if len(replies) == 0 || !replies[0].IsComplete() {
			violations = append(violations, Violation{GracefulShutdown, fmt.Sprintf("%s was interrupted by the shutdown: %v", id, replies)})
		}
	}
	return violations
}
