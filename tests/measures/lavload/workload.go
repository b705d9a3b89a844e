package lavload

import (
	"math"
	"math/rand/v2"
	"time"
)

// phase is a part of the workload with a constant request rate.
type phase struct {
	length time.Duration
	rate   float64 // requests per second
}

// workload describes the requests of one run.
type workload struct {
	phases []phase
	// accountRates holds the relative request rate of each client account.
	accountRates []float64
	// prefixes is the number of different prompt prefixes.
	prefixes int
	seed     uint64
}

const (
	meanPrompt = 400.0 // tokens
	meanOutput = 80.0  // tokens
	// firstTokenTarget and betweenTokensTarget are the latency targets for users.
	firstTokenTarget    = 1700 * time.Millisecond
	betweenTokensTarget = 48 * time.Millisecond
)

// epoch is the start of every simulated run.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// generate returns the requests in order of arrival. The popularity of prompt prefixes follows a Zipf distribution.
func (w workload) generate() []*request {
	random := rand.New(rand.NewPCG(w.seed, 77))
	prefixes := rand.NewZipf(random, 1.1, 1, uint64(max(w.prefixes, 1)-1))
	var requests []*request
	begin := epoch
	for _, part := range w.phases {
		now := begin
		end := begin.Add(part.length)
		for {
			now = now.Add(time.Duration(random.ExpFloat64() / part.rate * float64(time.Second)))
			if !now.Before(end) {
				break
			}
			requests = append(requests, w.request(len(requests), now, random, prefixes))
		}
		begin = end
	}
	return requests
}

func (w workload) request(id int, now time.Time, random *rand.Rand, prefixes *rand.Zipf) *request {
	r := &request{
		id:      id,
		account: w.account(random),
		prompt:  math.Max(20, meanPrompt*random.ExpFloat64()),
		output:  max(5, int(meanOutput*random.ExpFloat64())),
		prefix:  int(prefixes.Uint64()),
		arrived: now,
	}
	r.deadline = now.Add(firstTokenTarget)
	return r
}

// account draws a client account with a probability proportional to its rate.
func (w workload) account(random *rand.Rand) int {
	sum := 0.0
	for _, rate := range w.accountRates {
		sum += rate
	}
	draw := random.Float64() * sum
	for account, rate := range w.accountRates {
		draw -= rate
		if draw < 0 {
			return account
		}
	}
	return 0
}

func (w workload) length() time.Duration {
	length := time.Duration(0)
	for _, part := range w.phases {
		length += part.length
	}
	return length
}

// reserved reports whether the request may use the capacity reserved for accounts within their share.
func (r *request) reserved() bool {
	return r.ticket != nil && r.ticket.Reserved()
}
