package lavmatrix

import (
	"context"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/tests/modules/lavcluster"
)

// Case is one cell of the matrix while it runs.
type Case struct {
	*lavcluster.Cluster
	Record

	T     testing.TB
	Step  Step
	Fault Fault
	// Entry is the entry host that got the main request, and Other the other one.
	Entry string
	Other string
	// Backend is the backend server that got the main request, once it is known.
	Backend string
	// Main is the main request, and Replies its first try.
	Main lavcluster.Request

	body       *heldBody
	first      chan lavcluster.Reply
	work       conc.WaitGroup
	background context.Context
	stop       context.CancelFunc
	base       lavid.ConfigNumber
}

const (
	// parkLimit bounds the wait until the main request is held at its step.
	parkLimit = 5 * time.Second
	// faultTime is how long a fault lasts.
	faultTime = 1500 * time.Millisecond
	// settleLimit bounds the tries of the main request after the fault.
	settleLimit = 15 * time.Second
	// serveLimit is how soon after the fault fresh requests have to be served.
	serveLimit = 10 * time.Second
	// mainPatience is how long the caller waits for the first try of the main request.
	mainPatience = 8 * time.Second
	retryPause   = 200 * time.Millisecond
	// numberPause separates the readings of configuration numbers.
	numberPause = 150 * time.Millisecond
	// trafficPause separates the requests of the background traffic.
	trafficPause = 250 * time.Millisecond
)

// Run runs one cell on a new fleet and returns what it found wrong.
func Run(t testing.TB, programs *lavcluster.Programs, step Step, fault Fault) []Violation {
	t.Helper()
	cluster := lavcluster.Start(t, programs, options())
	c := &Case{
		Cluster: cluster,
		T:       t,
		Step:    step,
		Fault:   fault,
		Entry:   lavcluster.Entry1,
		Other:   lavcluster.Entry2,
		Backend: step.backend(),
		first:   make(chan lavcluster.Reply, 1),
		base:    1,
	}
	c.background, c.stop = context.WithCancel(context.Background())
	defer c.work.Wait()
	defer c.stop()
	c.work.Go(c.watchNumbers)
	violations := c.perform()
	c.stop()
	c.work.Wait()
	return append(violations, c.check()...)
}

// perform holds the main request at the step, applies the fault, undoes it and brings the request to its end.
func (c *Case) perform() []Violation {
	c.Step.begin(c)
	if c.Step.parked != nil && !lavcluster.Poll(parkLimit, func() bool { return c.Step.parked(c) }) {
		return []Violation{{Point: Harness, Text: "the main request did not reach its step"}}
	}
	c.work.Go(c.traffic)
	c.Fault.apply(c)
	hold := max(c.Step.hold, c.Fault.holdTime())
	time.Sleep(hold)
	if c.Step.release != nil {
		c.Step.release(c)
	}
	time.Sleep(max(0, faultTime-hold))
	if c.Fault.heal != nil {
		c.Fault.heal(c)
	}
	c.Heal(time.Now())
	violations := c.settle()
	violations = append(violations, c.serveAgain()...)
	if c.needsGrace() {
		c.waitGrace()
	}
	return violations
}

// traffic sends chats and repeatable calls of one session while the fault lasts.
func (c *Case) traffic() {
	session := lavid.SessionID(lavcluster.NewRequestID("session"))
	entries := lavcluster.Entries()
	for i := 0; c.background.Err() == nil; i++ {
		request := lavcluster.Request{ID: lavcluster.NewRequestID("traffic"), Account: lavcluster.AccountBoth, Kind: lavcluster.Chat, Session: session, Patience: 5 * time.Second}
		if i%3 == 2 {
			request.Account = lavcluster.AccountOne
			request.Session = ""
		}
		if i%4 == 3 {
			request.Kind = lavcluster.Status
		}
		c.AddReply(c.Send(context.Background(), entries[i%len(entries)], request))
		select {
		case <-c.background.Done():
		case <-time.After(trafficPause):
		}
	}
}

// watchNumbers reads the configuration number of each entry host and side process that answers.
func (c *Case) watchNumbers() {
	for c.background.Err() == nil {
		for _, entry := range lavcluster.Entries() {
			c.readNumber(entry, func() (lavid.ConfigNumber, error) {
				document, err := c.Document(entry)
				return document.Number, err
			})
		}
		for _, backend := range lavcluster.Backends() {
			c.readNumber(lavcluster.SideOf(backend), func() (lavid.ConfigNumber, error) { return c.SideNumber(backend) })
		}
		select {
		case <-c.background.Done():
		case <-time.After(numberPause):
		}
	}
}

// readNumber records a number unless the process ended or was frozen while it was read.
func (c *Case) readNumber(name string, read func() (lavid.ConfigNumber, error)) {
	process := c.Process(name)
	start := process.Starts()
	if !process.Alive() {
		return
	}
	asked := time.Now()
	number, err := read()
	if err == nil && process.Starts() == start {
		c.AddNumber(Number{Host: name, Start: start, Number: number, At: asked})
	}
}

// send sends the main request to the first entry host.
func (c *Case) send(kind lavcluster.Kind) {
	c.Main = lavcluster.Request{ID: lavcluster.NewRequestID("main"), Account: lavcluster.AccountBoth, Kind: kind, Patience: mainPatience}
	if c.body != nil {
		c.body.fill(c.Main.Bytes())
		c.Main.Body = c.body
	}
	c.work.Go(func() {
		reply := c.Send(context.Background(), c.Entry, c.Main)
		c.AddReply(reply)
		c.first <- reply
	})
}

// settle repeats the main request, at the other entry host first, until it is answered.
func (c *Case) settle() []Violation {
	if c.Step.settle != nil {
		return c.Step.settle(c)
	}
	entries := []string{c.Other, c.Entry}
	again := c.Main
	again.Body = nil
	again.Patience = 4 * time.Second
	var reply lavcluster.Reply
	began := time.Now()
	for i := 0; time.Since(began) < settleLimit; i++ {
		reply = c.Send(context.Background(), entries[i%len(entries)], again)
		c.AddReply(reply)
		if reply.Whole() {
			return nil
		}
		time.Sleep(retryPause)
	}
	if c.mayStayInDoubt(reply) {
		return nil
	}
	return []Violation{{Point: Lost, Text: "the main request is not answered after the fault: " + reply.String()}}
}

// mayStayInDoubt tells whether an operator has to settle the call: it was sent to the backend server and the outcome was lost with a process.
func (c *Case) mayStayInDoubt(reply lavcluster.Reply) bool {
	if c.Main.Kind != lavcluster.Submit || reply.RunState != "in_doubt" {
		return false
	}
	return c.Step.MayBeDoubtful && c.Fault.LosesOutcome
}

// serveAgain sends fresh requests to each entry host until they are served.
func (c *Case) serveAgain() []Violation {
	var violations []Violation
	for _, entry := range lavcluster.Entries() {
		if !c.Process(entry).Alive() {
			continue
		}
		for _, kind := range []lavcluster.Kind{lavcluster.Chat, lavcluster.Stream, lavcluster.Submit} {
			if !c.served(entry, kind) {
				violations = append(violations, Violation{Point: Lost, Text: "a fresh " + string(kind) + " at " + entry + " is not served after the fault"})
			}
		}
	}
	return violations
}

func (c *Case) served(entry string, kind lavcluster.Kind) bool {
	request := lavcluster.Request{ID: lavcluster.NewRequestID("fresh"), Account: lavcluster.AccountBoth, Kind: kind, Patience: 4 * time.Second}
	return lavcluster.Poll(serveLimit, func() bool {
		reply := c.Send(context.Background(), entry, request)
		c.AddReply(reply)
		return reply.Whole()
	})
}

// needsGrace tells whether something has to be in force everywhere after a few seconds.
func (c *Case) needsGrace() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.events) > 0
}

// waitGrace waits until everything has to be in force, with traffic that would show what is not.
func (c *Case) waitGrace() {
	c.mu.Lock()
	last := c.healed
	for _, event := range c.events {
		if event.At.After(last) {
			last = event.At
		}
	}
	c.mu.Unlock()
	time.Sleep(time.Until(last.Add(inForce + time.Second)))
}

const (
	burstCallers  = 16
	burstRequests = 3
)

// burst sends many chats at once, of which some may be refused.
func (c *Case) burst() {
	for range burstCallers {
		c.work.Go(func() {
			for range burstRequests {
				request := lavcluster.Request{ID: lavcluster.NewRequestID("burst"), Account: lavcluster.AccountBoth, Kind: lavcluster.Chat, Patience: 5 * time.Second}
				c.AddReply(c.Send(context.Background(), c.Other, request))
			}
		})
	}
}
