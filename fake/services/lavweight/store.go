package lavweight

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
)

// Store lets one load of weights start in each interval.
type Store struct {
	faults   *lavfault.Injector
	interval time.Duration
	mu       sync.Mutex
	next     time.Time
}

// New returns a weight store. An interval of zero sets no limit.
func New(faults *lavfault.Injector, interval time.Duration) *Store {
	return &Store{faults: faults, interval: interval}
}

// Register adds the path of the weight store to a router.
func (s *Store) Register(router *httprouter.Router) {
	router.GET("/weights/:version", s.start)
}

// Reserve returns zero when a load may start now, or otherwise the time until a load may start.
func (s *Store) Reserve(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if wait := s.next.Sub(now); wait > 0 {
		return wait
	}
	s.next = now.Add(s.interval)
	return 0
}

func (s *Store) start(w http.ResponseWriter, request *http.Request, params httprouter.Params) {
	call := lavfault.Call{HeldCall: lavtruth.HeldCall{Step: lavtruth.StepWeights, Key: params.ByName("version")}}
	if !s.faults.Admit(request.Context(), call) {
		lavfault.WriteRefusal(w)
		return
	}
	wait := s.Reserve(time.Now())
	if wait == 0 {
		w.WriteHeader(http.StatusOK)
		return
	}
	w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	lavhttp.WriteJSON(w, http.StatusTooManyRequests, lavhttp.NewErrorBody(laverror.New(laverror.KindTooManyRequests, "rate limit of weight loads exceeded", "retry after the time in Retry-After")))
}
