package lavescalation

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/services/lavforecast"
)

// requestKind is a kind of request of the simulated load.
type requestKind struct {
	tokens  float64
	target  time.Duration
	urgency int
	share   float64
}

// unlikeKinds are kinds of unlike length. The longest is the least urgent.
var unlikeKinds = []requestKind{
	{tokens: 9000, target: 6 * time.Second, urgency: 2, share: 0.3},
	{tokens: 5000, target: 2 * time.Second, urgency: 0, share: 0.3},
	{tokens: 1400, target: 2 * time.Second, urgency: 1, share: 0.4},
}

const (
	simulatedHosts   = 29
	simulatedEngines = 52
	// tokensPerSecond is what an engine reads with the smaller model, and largerFactor how many times longer the larger one takes.
	tokensPerSecond = 50_000
	largerFactor    = 8
	simulatedTime   = 40.0
	// reportAge is how old hosts' knowledge of the engines is, in seconds.
	reportAge  = 0.4
	deadline   = 12 * time.Second
	smallSkill = 0.35
	largeSkill = 0.95
)

// policy decides about a second run with the given backlogs of the chosen engine and of all engines.
type policy func(kind requestKind, confidence Confidence, arrivedAgo, engineTime, backlog, mean time.Duration, gains *Gains) Decision

// fixedBounds is the rule without a price: two bounds of the confidence, and a share of the time left.
func fixedBounds(kind requestKind, confidence Confidence, arrivedAgo, engineTime, backlog, _ time.Duration, _ *Gains) Decision {
	first := time.Duration(1.6 * float64(backlog+engineTime))
	decision := Decision{Wanted: confidence < 55}
	switch {
	case float64(first+time.Second) > 0.8*float64(deadline-arrivedAgo), first > kind.target-arrivedAgo && confidence >= 42:
		decision.Reason = ReasonTime
	}
	return decision
}

func priced(kind requestKind, confidence Confidence, arrivedAgo, engineTime, backlog, mean time.Duration, gains *Gains) Decision {
	first := backlog + engineTime
	run := Run{
		Confidence: confidence, Expected: gains.Expected("route", confidence), Urgency: kind.urgency, Late: arrivedAgo > kind.target,
		InTime:     lavforecast.Within(first, 0.4, kind.target-arrivedAgo),
		Whole:      lavforecast.Within(time.Duration(1.6*float64(first))+time.Second, 0.5, deadline-arrivedAgo),
		EngineTime: engineTime,
	}
	return Decide(run, PriceOf(mean, 1200*time.Millisecond))
}

// outcome is what callers got: the value of right answers by kind (late ones count half) over what they asked for, and the shares of
// second runs made of those wanted.
type outcome struct {
	value float64
	kinds []float64
	made  float64
}

// simulate plays callers who ask for load times what the engines could do if all wanted second runs were made. With halves, each half
// of the hosts knows only what its own hosts sent.
func simulate(seed uint64, load float64, halves bool, decide policy) outcome {
	random := rand.New(rand.NewPCG(seed, 3))
	meanTokens := 0.0
	for _, kind := range unlikeKinds {
		meanTokens += kind.share * kind.tokens
	}
	rate := load * simulatedEngines * tokensPerSecond / (meanTokens * (1 + (1-smallSkill)*largerFactor))
	groups := 1
	if halves {
		groups = 2
	}
	// busyUntil is when each engine has read all that it got; sent and known hold the work in seconds that each group of hosts has
	// sent and that its hosts know of.
	busyUntil := make([]float64, simulatedEngines)
	sent := make([][]work, groups)
	gains := make([]*Gains, simulatedHosts)
	for i := range gains {
		gains[i] = NewGains()
	}
	values, asked := make([]float64, len(unlikeKinds)), make([]float64, len(unlikeKinds))
	wanted, made := 0.0, 0.0
	backlogs := func(group int, now float64) []float64 {
		known := make([]float64, simulatedEngines)
		for _, item := range sent[group] {
			if item.at < now-reportAge {
				known[item.engine] = max(known[item.engine], item.until-now)
			}
		}
		return known
	}
	choose := func(known []float64) int {
		best := random.IntN(simulatedEngines)
		for range 2 {
			if other := random.IntN(simulatedEngines); known[other] < known[best] {
				best = other
			}
		}
		return best
	}
	send := func(group, engine int, now, seconds float64) float64 {
		busyUntil[engine] = max(busyUntil[engine], now) + seconds
		sent[group] = append(sent[group], work{engine: engine, at: now, until: busyUntil[engine]})
		return busyUntil[engine]
	}
	var queue []second
	next := random.ExpFloat64() / rate
	for next < simulatedTime || len(queue) > 0 {
		if len(queue) > 0 && queue[0].at <= next {
			run := queue[0]
			queue = queue[1:]
			known := backlogs(run.group, run.at)
			engine := choose(known)
			seconds := run.kind.tokens * largerFactor / tokensPerSecond
			mean := 0.0
			for _, backlog := range known {
				mean += max(backlog, 0) / simulatedEngines
			}
			ago := durationOf(run.at - run.arrived)
			decision := decide(run.kind, run.confidence, ago, durationOf(seconds), durationOf(max(known[engine], 0)), durationOf(mean), gains[run.host])
			first, right := ago, run.difficulty < smallSkill
			if decision.Wanted {
				wanted++
			}
			if decision.Made() {
				made++
				first, right = durationOf(send(run.group, engine, run.at, seconds)-run.arrived), run.difficulty < largeSkill
				gains[run.host].Observe("route", run.confidence, confidenceIn(random, largeSkill, run.difficulty))
			}
			switch {
			case !right || first+time.Second > deadline:
			case first > run.kind.target:
				values[run.index] += lateShare
			default:
				values[run.index]++
			}
			continue
		}
		now := next
		next += random.ExpFloat64() / rate
		if now >= simulatedTime {
			next = math.Inf(1)
			continue
		}
		index, at := 0, random.Float64()
		for at > unlikeKinds[index].share && index < len(unlikeKinds)-1 {
			at -= unlikeKinds[index].share
			index++
		}
		host := random.IntN(simulatedHosts)
		run := second{kind: unlikeKinds[index], index: index, host: host, group: host % groups, arrived: now, difficulty: random.Float64()}
		run.confidence = confidenceIn(random, smallSkill, run.difficulty)
		run.at = send(run.group, choose(backlogs(run.group, now)), now, run.kind.tokens/tokensPerSecond)
		asked[index]++
		queue = insert(queue, run)
	}
	result := outcome{made: made / max(wanted, 1)}
	total, value := 0.0, 0.0
	for i := range values {
		result.kinds = append(result.kinds, values[i]/asked[i])
		value += values[i]
		total += asked[i]
	}
	result.value = value / total
	return result
}

// work is work that was sent to an engine, which has read it at the time until.
type work struct {
	engine    int
	at, until float64
}

// second is a request whose first answer arrives at a time.
type second struct {
	kind        requestKind
	index       int
	host, group int
	at, arrived float64
	difficulty  float64
	confidence  Confidence
}

func insert(queue []second, run second) []second {
	position := len(queue)
	for position > 0 && queue[position-1].at > run.at {
		position--
	}
	return append(queue[:position], append([]second{run}, queue[position:]...)...)
}

func durationOf(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// confidenceIn returns what a model says of its answer. One in ten says anything.
func confidenceIn(random *rand.Rand, skill, difficulty float64) Confidence {
	if random.Float64() < 0.1 {
		return Confidence(random.IntN(101))
	}
	return Confidence(min(max(50+150*(skill-difficulty)+12*random.NormFloat64(), 0), 100))
}

// TestSecondRunsServeMoreCallersUnderOverload answers the pattern of 1.3 times what the engines can do, with three kinds of requests
// of unlike length, at 29 hosts that know of each other's work 0.4 s late, also while one half of them does not hear the other. More
// right answers arrive in time than with fixed bounds, and no kind is served less than half as well as all.
func TestSecondRunsServeMoreCallersUnderOverload(t *testing.T) {
	t.Parallel()
	for name, halves := range map[string]bool{"connected": false, "halves cut off": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			before, after := 0.0, 0.0
			for seed := range uint64(4) {
				fixed, decided := simulate(seed, 1.3, halves, fixedBounds), simulate(seed, 1.3, halves, priced)
				t.Logf("fixed bounds %+v, priced %+v", fixed, decided)
				before, after = before+fixed.value, after+decided.value
				for _, kind := range decided.kinds {
					is.True(kind > decided.value/2)
				}
			}
			is.True(after > before)
		})
	}
}

// TestFreeEnginesMakeAllSecondRuns guards against second runs that are withheld while engines have room.
func TestFreeEnginesMakeAllSecondRuns(t *testing.T) {
	is := is.New(t)
	result := simulate(1, 0.3, false, priced)
	t.Logf("%+v", result)
	is.True(result.made > 0.95)
}
