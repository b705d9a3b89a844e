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
type Point string

// The guarantees that every cell checks.
const (
	AllowedVersion   Point = "1 allowed version"
	Withdrawn        Point = "2 withdrawn version"
	SessionVersion   Point = "3 session version"
	BilledOnce       Point = "4 billed once"
	BearableLoad     Point = "5 bearable load"
	DataCentre       Point = "6 data centre out"
	WholeAnswer      Point = "7 whole answer"
	TrueNotRun       Point = "8 not run is true"
	AtMostOnce       Point = "9 at most once"
	Leaving          Point = "10 leaving server"
	GracefulShutdown Point = "11 graceful shutdown"
	ConfigInForce    Point = "12 configuration"
	// Lost says that a request was never answered.
	Lost Point = "no request lost"
	// Harness says that the case could not be run as meant.
	Harness Point = "harness"
)

// Violation is one guarantee that did not hold.
type Violation struct {
	Point Point
	Text  string
}

// String returns the point and what was seen.
func (v Violation) String() string {
	return string(v.Point) + ": " + v.Text
}

// inForce is how soon something accepted has to hold everywhere.
const inForce = 4 * time.Second

// noticeCold is how soon a side process notices that its engine turned cold.
const noticeCold = 2 * time.Second

// billLimit is how soon after the fault the last bill has to be written.
const billLimit = 8 * time.Second

// facts are the ground truth against which the record is checked.
type facts struct {
	platform lavtruth.Platform
	backends map[string]lavtruth.Backend
	accounts map[lavid.RequestID]lavid.AccountID
}

// check compares the record with the ground truth, for every guarantee.
func (c *Case) check() []Violation {
	lavcluster.Poll(billLimit, func() bool { return len(c.checkBills(c.PlatformTruth())) == 0 })
	truth := facts{platform: c.PlatformTruth(), backends: make(map[string]lavtruth.Backend), accounts: make(map[lavid.RequestID]lavid.AccountID)}
	var found []Violation
	for _, backend := range lavcluster.Backends() {
		one, err := c.BackendTruth(backend)
		if err != nil {
			found = append(found, Violation{Point: Harness, Text: err.Error()})
		}
		truth.backends[backend] = one
	}
	for id, tries := range c.requests() {
		truth.accounts[id] = tries[0].Request.Account
	}
	found = append(found, c.checkRuns(truth)...)
	found = append(found, c.checkReplies(truth)...)
	found = append(found, c.checkSessions()...)
	found = append(found, c.checkBills(truth.platform)...)
	found = append(found, c.checkGraceful()...)
	return append(found, c.checkConfig(truth.platform)...)
}

// checkRuns checks the work of every backend server: points 1, 2, 5, 6, 9 and 10.
func (c *Case) checkRuns(truth facts) []Violation {
	var found []Violation
	submits := make(map[lavid.RequestID]int)
	for backend, one := range truth.backends {
		for _, run := range one.Runs {
			account, known := truth.accounts[run.Request]
			if known && run.Version != "" && !lavcluster.Allowed(account, run.Version) {
				found = append(found, Violation{AllowedVersion, fmt.Sprintf("%s of %s ran on %s", run.Request, account, run.Version)})
			}
			if run.Capacity > 0 && run.Running > run.Capacity && !c.coldUnnoticed(run.Arrived) {
				found = append(found, Violation{BearableLoad, fmt.Sprintf("%s ran %d and bears %d when %s came", backend, run.Running, run.Capacity, run.Request)})
			}
			found = append(found, c.checkEvents(backend, run)...)
			if run.Path == "/submit" {
				submits[run.Request]++
			}
		}
	}
	for request, count := range submits {
		if count > 1 {
			found = append(found, Violation{AtMostOnce, fmt.Sprintf("%s ran %d times", request, count)})
		}
	}
	return found
}

// coldUnnoticed tells whether engines turned cold without notice only a moment before.
func (c *Case) coldUnnoticed(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range c.events {
		if event.Kind == TurnedCold && at.Sub(event.At) < noticeCold {
			return true
		}
	}
	return false
}

// checkEvents checks that a run did not start where operators had forbidden it a few seconds before.
func (c *Case) checkEvents(backend string, run lavtruth.Run) []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []Violation
	for _, event := range c.events {
		late := run.Arrived.Sub(event.At)
		if late <= inForce {
			continue
		}
		text := fmt.Sprintf("%s started at %s %s after %s %s", run.Request, backend, late.Round(time.Millisecond), event.Kind, event.Name)
		switch {
		case event.Kind == VersionWithdrawn && string(run.Version) == event.Name:
			found = append(found, Violation{Withdrawn, text})
		case event.Kind == DataCentreOut && string(lavcluster.DataCentreOf(backend)) == event.Name:
			found = append(found, Violation{DataCentre, text})
		case event.Kind == ServerLeaving && backend == event.Name:
			found = append(found, Violation{Leaving, text})
		}
	}
	return found
}

// checkReplies checks what callers were told: points 7 and 8.
func (c *Case) checkReplies(truth facts) []Violation {
	var found []Violation
	for id, tries := range c.requests() {
		runs := runsOf(truth, id)
		open := false
		for i, try := range tries {
			if try.Broken {
				found = append(found, Violation{WholeAnswer, try.String()})
			}
			if try.RunState == laverror.NotRun && !open && ranUntil(runs, tries, i) {
				found = append(found, Violation{TrueNotRun, try.String()})
			}
			if try.RunState != laverror.NotRun {
				open = true
			}
		}
	}
	return found
}

func runsOf(truth facts, id lavid.RequestID) []lavtruth.Run {
	var runs []lavtruth.Run
	for _, one := range truth.backends {
		for _, run := range one.Runs {
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
func ranUntil(runs []lavtruth.Run, tries []lavcluster.Reply, i int) bool {
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
	var found []Violation
	for _, reply := range c.replies {
		session := reply.Request.Session
		if session == "" || !reply.Whole() || reply.Version == "" {
			continue
		}
		before, ok := versions[session]
		if ok && before.Version != reply.Version && !c.isWithdrawn(before.Version) {
			found = append(found, Violation{SessionVersion, fmt.Sprintf("%s moved from %s to %s", session, before.Version, reply.Version)})
		}
		versions[session] = reply
	}
	return found
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
func (c *Case) checkGraceful() []Violation {
	var found []Violation
	grouped := c.requests()
	for _, id := range c.graceful {
		tries := grouped[id]
		if len(tries) == 0 || !tries[0].Whole() {
			found = append(found, Violation{GracefulShutdown, fmt.Sprintf("%s was cut: %v", id, tries)})
		}
	}
	return found
}
