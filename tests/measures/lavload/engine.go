package lavload

import (
	"slices"
	"time"
)

// The properties of the fake engine. It uses continuous batching: prompts are processed in order, while all running
// answers advance together.
const (
	stepTime          = 5 * time.Millisecond // simulated time between two steps
	maxBatch          = 64                   // requests that can run at once
	promptRate        = 20000.0              // tokens per second of a warm engine of speed one
	promptShare       = 0.5                  // share of the engine that prompts use while answers are running
	promptSlack       = 0.75                 // part of the target between tokens that safeLimit plans for
	stepBase          = 0.010                // seconds per token, independent of the batch
	stepPerRequest    = 0.0008               // additional seconds per token for each request in the batch
	cachedCost        = 0.2                  // part of a prompt that is computed if its prefix is cached
	coldSpeed         = 0.25                 // speed of a cold engine relative to a warm one
	coldStartCapacity = 3                    // requests that a fully cold engine can run
	warmTime          = 8 * time.Second      // time from cold to warm
	restartTime       = 3 * time.Second      // time for which a crashed engine is unavailable
	cachedPrefixes    = 40                   // prefixes in the cache
)

// request is a simulated request with its progress. Prompt and output are counted in tokens.
type request struct {
	id         int
	account    int
	prompt     float64
	output     int
	prefix     int
	arrived    time.Time
	deadline   time.Time
	promptLeft float64
	produced   float64
	first      time.Time
	last       time.Time
	entry      *entry
	permit     permit
	ticket     ticketRef
	attempts   int
}

// engine simulates a model engine. Time is passed to its methods.
type engine struct {
	speed             float64
	prompts           []*request
	answers           []*request
	warmth            float64 // from 0, fully cold, to 1, warm
	coldSince         time.Time
	admittedSinceCold int // requests admitted since the engine turned cold, less those that finished since
	downUntil         time.Time
	crashes           int
	cache             []int
}

// coldCapacity returns how many requests admitted since the engine turned cold it can run without crashing.
func (e *engine) coldCapacity() int {
	return coldStartCapacity + int(e.warmth*maxBatch)
}

func (e *engine) running() int {
	return len(e.prompts) + len(e.answers)
}

// turnCold resets the warmth and the cache. Running requests continue.
func (e *engine) turnCold(now time.Time) {
	e.warmth = 0
	e.coldSince = now
	e.admittedSinceCold = 0
	e.cache = nil
}

// admit starts a request. A cold engine above its capacity crashes, and admit returns all requests that are lost.
func (e *engine) admit(r *request, now time.Time) []*request {
	r.promptLeft = r.prompt
	if e.hasPrefix(r.prefix) {
		r.promptLeft = r.prompt * cachedCost
	}
	e.enqueue(r)
	if e.warmth >= 1 {
		return nil
	}
	e.admittedSinceCold++
	if e.admittedSinceCold <= e.coldCapacity() {
		return nil
	}
	return e.crash(now)
}

// enqueue inserts a request behind the prompt in progress. Requests that use reserved capacity precede the others.
func (e *engine) enqueue(r *request) {
	at := len(e.prompts)
	for r.reserved() && at > 1 && !e.prompts[at-1].reserved() {
		at--
	}
	e.prompts = slices.Insert(e.prompts, at, r)
}

// crash ends all requests and makes the engine unavailable for restartTime. It returns the lost requests.
func (e *engine) crash(now time.Time) []*request {
	lost := slices.Concat(e.prompts, e.answers)
	e.prompts, e.answers = nil, nil
	e.crashes++
	e.turnCold(now)
	e.downUntil = now.Add(restartTime)
	return lost
}

// down reports whether the engine has crashed and is not available again.
func (e *engine) down(now time.Time) bool {
	return now.Before(e.downUntil)
}

// step advances the engine by stepTime. It returns the requests that received tokens and those that finished.
func (e *engine) step(now time.Time) (progressed, ended []*request) {
	if e.down(now) {
		return nil, nil
	}
	e.updateWarmth(now)
	speed := e.speed * (coldSpeed + (1-coldSpeed)*e.warmth)
	progressed = e.stepPrompts(speed)
	share := 1.0
	if len(e.prompts) > 0 {
		share = 1 - promptShare
	}
	rate := speed * share / (stepBase + stepPerRequest*float64(len(e.answers)))
	kept := e.answers[:0]
	for _, r := range e.answers {
		before := int(r.produced)
		r.produced += rate * stepTime.Seconds()
		if int(r.produced) > before {
			progressed = append(progressed, r)
		}
		if int(r.produced) >= r.output {
			ended = append(ended, r)
			e.finish(r)
			continue
		}
		kept = append(kept, r)
	}
	e.answers = kept
	return progressed, ended
}

func (e *engine) finish(r *request) {
	e.cachePrefix(r.prefix)
	if e.admittedSinceCold > 0 {
		e.admittedSinceCold--
	}
}

// updateWarmth raises the warmth linearly from 0 to 1 within warmTime.
func (e *engine) updateWarmth(now time.Time) {
	if e.warmth >= 1 {
		return
	}
	e.warmth = min(1, now.Sub(e.coldSince).Seconds()/warmTime.Seconds())
}

// stepPrompts processes prompts in order and moves the finished ones to the batch.
func (e *engine) stepPrompts(speed float64) []*request {
	budget := promptRate * speed * stepTime.Seconds()
	if len(e.answers) > 0 {
		budget *= promptShare
	}
	var started []*request
	for len(e.prompts) > 0 && len(e.answers) < maxBatch && budget > 0 {
		r := e.prompts[0]
		spent := min(budget, r.promptLeft)
		r.promptLeft -= spent
		budget -= spent
		if r.promptLeft > 0 {
			break
		}
		e.prompts = e.prompts[1:]
		r.produced = 1
		e.answers = append(e.answers, r)
		started = append(started, r)
	}
	return started
}

func (e *engine) hasPrefix(prefix int) bool {
	return slices.Contains(e.cache, prefix)
}

// cachePrefix adds a prefix to the cache, which keeps the most recently used prefixes.
func (e *engine) cachePrefix(prefix int) {
	kept := []int{prefix}
	for _, known := range e.cache {
		if known != prefix && len(kept) < cachedPrefixes {
			kept = append(kept, known)
		}
	}
	e.cache = kept
}

// safeLimit returns the largest number of running requests at which the engine neither crashes nor exceeds the target for
// the time between tokens.
func (e *engine) safeLimit() int {
	speed := e.speed * (coldSpeed + (1-coldSpeed)*e.warmth)
	fits := (betweenTokensTarget.Seconds()*speed*promptSlack - stepBase) / stepPerRequest
	return max(1, min(int(fits), e.coldCapacity()-1))
}
