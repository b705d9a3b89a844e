package lavmatrix

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/tests/modules/lavcluster"
)

// Case is the state of one matrix cell while it runs: its fleet, its main request and the recorded observations.
type Case struct {
	*lavcluster.Cluster
	Record

	T     testing.TB
	Step  Step
	Fault Fault
	// Entry is the entry host that receives the main request, OtherEntry the second entry host.
	Entry      string
	OtherEntry string
	// Backend is the backend server of the main request. Until that server is found it is the default of the step.
	Backend string
	// MainRequest is the request that is held at the step while the fault is applied.
	MainRequest lavcluster.Request

	// body is the body of the main request if the step holds the request while it is sent.
	body *heldBody
	// firstReply receives the reply to the first attempt of the main request.
	firstReply chan lavcluster.Reply
	goroutines conc.WaitGroup
	// background ends when the case is over; it stops the background traffic and the reading of configuration numbers.
	background     context.Context
	stopBackground context.CancelFunc
	base           lavid.ConfigNumber
}

const (
	// holdTimeout limits the wait until the main request is held at its step.
	holdTimeout = 5 * time.Second
	// faultDuration is how long a fault lasts.
	faultDuration = 1500 * time.Millisecond
	// retryTimeout limits the retries of the main request after the fault.
	retryTimeout = 15 * time.Second
	// recoveryTimeout is the time after the fault within which new requests must be served again.
	recoveryTimeout = 10 * time.Second
	// mainTimeout is how long the caller waits for the first attempt of the main request.
	mainTimeout = 8 * time.Second
	// retryInterval is the time between two attempts of the same request or patch.
	retryInterval = 200 * time.Millisecond
	// numberInterval is the time between two readings of the configuration numbers.
	numberInterval = 150 * time.Millisecond
	// trafficInterval is the time between two requests of the background traffic.
	trafficInterval = 250 * time.Millisecond
)

// Run runs one cell on a new fleet and returns the violations that it found.
func Run(t testing.TB, programs *lavcluster.Programs, step Step, fault Fault) []Violation {
	t.Helper()
	cluster := lavcluster.Start(t, programs, options())
	c := &Case{
		Cluster:    cluster,
		T:          t,
		Step:       step,
		Fault:      fault,
		Entry:      lavcluster.Entry1,
		OtherEntry: lavcluster.Entry2,
		Backend:    step.backend(),
		firstReply: make(chan lavcluster.Reply, 1),
		base:       1,
	}
	c.background, c.stopBackground = context.WithCancel(context.Background())
	defer c.goroutines.Wait()
	defer c.stopBackground()
	c.goroutines.Go(c.pollConfigNumbers)
	violations := c.perform()
	c.stopBackground()
	c.goroutines.Wait()
	return append(violations, c.check()...)
}

// perform holds the main request at the step, applies the fault, heals it and retries the request until it is answered.
func (c *Case) perform() []Violation {
	c.Step.begin(c)
	if c.Step.isHeld != nil && !lavcluster.Poll(holdTimeout, func() bool { return c.Step.isHeld(c) }) {
		return []Violation{{Guarantee: HarnessFailure, Text: "the main request was not held at its step"}}
	}
	c.goroutines.Go(c.sendTraffic)
	c.Fault.apply(c)
	hold := max(c.Step.hold, c.Fault.holdDuration())
	time.Sleep(hold)
	if c.Step.release != nil {
		c.Step.release(c)
	}
	time.Sleep(max(0, faultDuration-hold))
	if c.Fault.heal != nil {
		c.Fault.heal(c)
	}
	c.MarkHealed(time.Now())
	violations := c.finish()
	violations = append(violations, c.checkRecovery()...)
	if c.needsPropagationWait() {
		c.waitForPropagation()
	}
	return violations
}

// sendTraffic sends chats, with and without a session, and idempotent calls to the entry hosts in turn until the background
// context ends.
func (c *Case) sendTraffic() {
	session := lavid.SessionID(lavcluster.NewRequestID("session"))
	entries := lavcluster.Entries()
	for i := 0; c.background.Err() == nil; i++ {
		request := lavcluster.Request{ID: lavcluster.NewRequestID("traffic"), Account: lavcluster.AccountBothVersions, Kind: lavcluster.Chat, Session: session, Timeout: 5 * time.Second}
		if i%3 == 2 {
			request.Account = lavcluster.AccountOneVersion
			request.Session = ""
		}
		if i%4 == 3 {
			request.Kind = lavcluster.Status
		}
		c.AddReply(c.Send(context.Background(), entries[i%len(entries)], request))
		select {
		case <-c.background.Done():
		case <-time.After(trafficInterval):
		}
	}
}

// pollConfigNumbers records the configuration number of every entry host and side process at short intervals.
func (c *Case) pollConfigNumbers() {
	for c.background.Err() == nil {
		for _, entry := range lavcluster.Entries() {
			c.recordConfigNumber(entry, func() (lavid.ConfigNumber, error) {
				document, err := c.Document(entry)
				return document.Number, err
			})
		}
		for _, backend := range lavcluster.Backends() {
			c.recordConfigNumber(lavcluster.SideOf(backend), func() (lavid.ConfigNumber, error) { return c.SideConfigNumber(backend) })
		}
		select {
		case <-c.background.Done():
		case <-time.After(numberInterval):
		}
	}
}

// recordConfigNumber records the configuration number of a process unless the process was restarted or not alive
// during the reading.
func (c *Case) recordConfigNumber(name string, read func() (lavid.ConfigNumber, error)) {
	process := c.Process(name)
	start := process.Starts()
	if !process.Alive() {
		return
	}
	readAt := time.Now()
	number, err := read()
	if err == nil && process.Starts() == start {
		c.AddReading(ConfigReading{Host: name, Start: start, Number: number, At: readAt})
	}
}

// sendMain sends the main request to c.Entry in the background.
func (c *Case) sendMain(kind lavcluster.Kind) {
	c.MainRequest = lavcluster.Request{ID: lavcluster.NewRequestID("main"), Account: lavcluster.AccountBothVersions, Kind: kind, Timeout: mainTimeout}
	if c.body != nil {
		c.body.setData(c.MainRequest.Bytes())
		c.MainRequest.Body = c.body
	}
	c.goroutines.Go(func() {
		reply := c.Send(context.Background(), c.Entry, c.MainRequest)
		c.AddReply(reply)
		c.firstReply <- reply
	})
}

// finish retries the main request at both entry hosts in turn, c.OtherEntry first, until it is answered.
func (c *Case) finish() []Violation {
	if c.Step.finish != nil {
		return c.Step.finish(c)
	}
	entries := []string{c.OtherEntry, c.Entry}
	retry := c.MainRequest
	retry.Body = nil
	retry.Timeout = 4 * time.Second
	var reply lavcluster.Reply
	began := time.Now()
	for i := 0; time.Since(began) < retryTimeout; i++ {
		reply = c.Send(context.Background(), entries[i%len(entries)], retry)
		c.AddReply(reply)
		if reply.IsComplete() {
			return nil
		}
		time.Sleep(retryInterval)
	}
	if c.mayStayInDoubt(reply) {
		return nil
	}
	return []Violation{{Guarantee: NoRequestLost, Text: "the main request was not answered after the fault: " + reply.String()}}
}

// mayStayInDoubt reports whether the call may remain in doubt until an operator settles it: the call may have reached the
// backend server and the fault may have lost its outcome.
func (c *Case) mayStayInDoubt(reply lavcluster.Reply) bool {
	if c.MainRequest.Kind != lavcluster.Submit || reply.RunState != "in_doubt" {
		return false
	}
	return c.Step.MayBeInDoubt && c.Fault.LosesOutcome
}

// checkRecovery sends a new chat, stream and non-idempotent call to every live entry host until it is served.
func (c *Case) checkRecovery() []Violation {
	var violations []Violation
	for _, entry := range lavcluster.Entries() {
		if !c.Process(entry).Alive() {
			continue
		}
		for _, kind := range []lavcluster.Kind{lavcluster.Chat, lavcluster.Stream, lavcluster.Submit} {
			if !c.isServed(entry, kind) {
				violations = append(violations, Violation{Guarantee: NoRequestLost, Text: "a new " + string(kind) + " at " + entry + " was not served after the fault"})
			}
		}
	}
	return violations
}

// isServed reports whether a new request of the kind is answered at the entry host within recoveryTimeout.
func (c *Case) isServed(entry string, kind lavcluster.Kind) bool {
	request := lavcluster.Request{ID: lavcluster.NewRequestID("fresh"), Account: lavcluster.AccountBothVersions, Kind: kind, Timeout: 4 * time.Second}
	return lavcluster.Poll(recoveryTimeout, func() bool {
		reply := c.Send(context.Background(), entry, request)
		c.AddReply(reply)
		return reply.IsComplete()
	})
}

// needsPropagationWait reports whether an event was recorded that must take effect on every host.
func (c *Case) needsPropagationWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.events) > 0
}

// waitForPropagation waits until all recorded events must have taken effect. The background traffic goes on meanwhile, so
// that a host on which an event has not taken effect is detected.
func (c *Case) waitForPropagation() {
	c.mu.Lock()
	last := c.healedAt
	for _, event := range c.events {
		if event.At.After(last) {
			last = event.At
		}
	}
	c.mu.Unlock()
	time.Sleep(time.Until(last.Add(propagationLimit + time.Second)))
}

const (
	burstCallers = 16
	// burstRequests is the number of requests that each caller of a burst sends one after another.
	burstRequests = 3
)

// sendBurst sends chats from burstCallers callers at once. Some of them may be refused.
func (c *Case) sendBurst() {
	for range burstCallers {
		c.goroutines.Go(func() {
			for range burstRequests {
				request := lavcluster.Request{ID: lavcluster.NewRequestID("burst"), Account: lavcluster.AccountBothVersions, Kind: lavcluster.Chat, Timeout: 5 * time.Second}
				c.AddReply(c.Send(context.Background(), c.OtherEntry, request))
			}
		})
	}
}
