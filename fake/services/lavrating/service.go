package lavrating

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
)

// Behaviour describes how ratings deviate from the true quality.
type Behaviour struct {
	Seed uint64
	// Noise is the probability that a rating is wrong.
	Noise float64
	// Missing is the probability that a rating is refused.
	Missing float64
	// Delay is the mean duration of a rating. Durations are distributed exponentially.
	Delay time.Duration
}

// maxDelay limits the duration of a rating.
const maxDelay = time.Minute

// Service rates answers of the stand-in engine, which state their own quality.
type Service struct {
	behaviour Behaviour
	faults    *lavfault.Injector
	mu        sync.Mutex
	random    *rand.Rand
}

type ratingRequest struct {
	Request lavid.RequestID
	Version lavid.VersionID
	Class   lavid.TaskClass
	Prompt  string
	Answer  string
}

type ratingReply struct {
	Acceptable bool
	Score      float64
}

// deviation is how one rating deviates from the true quality. scoreFraction places the score within its range.
type deviation struct {
	missing       bool
	wrong         bool
	delay         time.Duration
	scoreFraction float64
}

// New returns a rating service. Its deviations are drawn from a random source with the seed of behaviour.
func New(faults *lavfault.Injector, behaviour Behaviour) *Service {
	return &Service{faults: faults, behaviour: behaviour, random: rand.New(rand.NewPCG(behaviour.Seed, behaviour.Seed+1))}
}

// Register adds the path of the rating service to a router.
func (s *Service) Register(router *httprouter.Router) {
	router.HandlerFunc(http.MethodPost, "/ratings", s.rate)
}

func (s *Service) drawDeviation() deviation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return deviation{
		missing:       s.random.Float64() < s.behaviour.Missing,
		wrong:         s.random.Float64() < s.behaviour.Noise,
		delay:         min(time.Duration(s.random.ExpFloat64()*float64(s.behaviour.Delay)), maxDelay),
		scoreFraction: s.random.Float64(),
	}
}

func (s *Service) rate(w http.ResponseWriter, request *http.Request) {
	var body ratingRequest
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "rating request is not valid JSON", "see docs/PLATFORM.md"))
		return
	}
	drawn := s.drawDeviation()
	call := lavfault.Call{HeldCall: lavtruth.HeldCall{Step: lavtruth.StepRating, Request: body.Request}}
	if !s.faults.Do(request.Context(), call, func() { pause(request.Context(), drawn.delay) }) || drawn.missing {
		lavfault.WriteRefusal(w)
		return
	}
	lavhttp.WriteJSON(w, http.StatusOK, newReply(body.Answer, drawn))
}

// newReply returns the rating of an answer: a score from 0.5 to 1 when it is acceptable, and below 0.5 otherwise.
func newReply(answer string, drawn deviation) ratingReply {
	acceptable := !strings.Contains(answer, lavtruth.Flawed) != drawn.wrong
	score := drawn.scoreFraction / 2
	if acceptable {
		score += 0.5
	}
	return ratingReply{Acceptable: acceptable, Score: score}
}

// pause waits for length or until ctx ends.
func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
