package lavload

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

const (
	maxCallers  = 500
	maxRequests = 1_000_000
	maxDuration = 30 * time.Minute
)

// Settings are the settings of a load run.
type Settings struct {
	// Targets are base URLs of entry hosts on the loopback interface. Requests are spread over them in rotation.
	Targets []string
	// Keys are API keys of client accounts. They are assigned to the callers in rotation.
	Keys []string
	// Callers is the number of concurrent callers, and Requests the number of requests of all callers.
	Callers  int
	Requests int
	// Duration is the time limit of the load.
	Duration time.Duration
	Seed     uint64
	// StreamPart and ServicePart are the shares of streamed chats and of service calls, from 0 to 1. The rest are plain
	// chats.
	StreamPart  float64
	ServicePart float64
	// Service is the path of the service call, such as claims/submit.
	Service string
	// Pause is the time between two requests of one caller.
	Pause time.Duration
}

// Report sums up the outcomes of all requests.
type Report struct {
	Sent int
	// Whole counts complete and correct answers.
	Whole int
	// Refused counts error replies and failed connections.
	Refused int
	// Broken counts answers that were truncated, altered or meant for another request.
	Broken int
	// FirstBroken describes the first broken answer.
	FirstBroken   string
	MeanMillis    float64
	SlowestMillis float64
}

// Check returns an error when a limit is exceeded or a target is outside the loopback interface.
func (s Settings) Check() error {
	for _, target := range s.Targets {
		parsed, err := url.Parse(target)
		if err != nil {
			return errors.Wrapf(err, "parse target %q; give a URL such as http://127.0.0.1:7301", target)
		}
		address, err := netip.ParseAddrPort(parsed.Host)
		if err != nil || !address.Addr().IsLoopback() {
			return errors.Errorf("target %q is not on the loopback interface; give a URL such as http://127.0.0.1:7301", target)
		}
	}
	if len(s.Targets) == 0 || len(s.Keys) == 0 {
		return errors.New("no target or no key; give at least one of each")
	}
	if s.Callers < 1 || s.Callers > maxCallers || s.Requests < 1 || s.Requests > maxRequests {
		return errors.Errorf("%d callers and %d requests are out of range; give up to %d and %d", s.Callers, s.Requests, maxCallers, maxRequests)
	}
	if s.Duration <= 0 || s.Duration > maxDuration {
		return errors.Errorf("duration %s is out of range; give up to %s", s.Duration, maxDuration)
	}
	return nil
}

// Run sends the load and returns its report.
func Run(ctx context.Context, settings Settings) (Report, error) {
	if err := settings.Check(); err != nil {
		return Report{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, settings.Duration)
	defer cancel()
	counter := &resultCounter{remaining: settings.Requests}
	var callers conc.WaitGroup
	for number := range settings.Callers {
		callers.Go(func() { newCaller(settings, number).run(ctx, counter) })
	}
	callers.Wait()
	return counter.report(), nil
}

// resultCounter counts the outcomes of all callers and limits the number of requests.
type resultCounter struct {
	mu           sync.Mutex
	remaining    int
	result       Report
	totalElapsed time.Duration
}

// reserve counts another request as sent if one remains, and reports whether it did.
func (c *resultCounter) reserve() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.remaining == 0 {
		return false
	}
	c.remaining--
	c.result.Sent++
	return true
}

func (c *resultCounter) add(outcome outcome, elapsed time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.totalElapsed += elapsed
	c.result.SlowestMillis = max(c.result.SlowestMillis, float64(elapsed.Microseconds())/1000)
	switch {
	case outcome.broken != nil:
		c.result.Broken++
		if c.result.FirstBroken == "" {
			c.result.FirstBroken = outcome.broken.Error()
		}
	case outcome.refused:
		c.result.Refused++
	default:
		c.result.Whole++
	}
}

func (c *resultCounter) report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.result.Sent > 0 {
		c.result.MeanMillis = float64(c.totalElapsed.Microseconds()) / 1000 / float64(c.result.Sent)
	}
	return c.result
}

func newRandom(seed uint64, number int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(number)))
}
