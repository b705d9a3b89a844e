package lavforward

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

// windowSlots is the number of slots into which the window of the repeat budget is divided.
const windowSlots = 10

// repeatBudget is the retry budget of each service: it limits the sends beyond the first send of each request. It is safe
// for concurrent use.
type repeatBudget struct {
	share      float64
	slack      float64
	slotLength time.Duration

	mu      sync.Mutex
	windows map[lavid.ServiceID]*repeatWindow
}

type repeatWindow struct {
	currentSlot int64
	requests    [windowSlots]float64
	repeats     [windowSlots]float64
}

func newRepeatBudget(settings Settings) *repeatBudget {
	return &repeatBudget{
		share:      settings.RepeatShare,
		slack:      settings.RepeatSlack,
		slotLength: max(settings.RepeatWindow/windowSlots, time.Millisecond),
		windows:    make(map[lavid.ServiceID]*repeatWindow),
	}
}

// countRequest counts a new request of the service.
func (r *repeatBudget) countRequest(service lavid.ServiceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	window := r.window(service, now)
	window.requests[window.currentSlot%windowSlots]++
}

// secondRunShare is the part of the budget that second runs by larger models may take. The rest is for requests that failed and
// streams that broke off, which get no answer otherwise.
const secondRunShare = 0.95

// take counts one further send if it fits into the given part of this host's budget for the window, and reports whether it does.
func (r *repeatBudget) take(service lavid.ServiceID, hosts int, part float64, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	window := r.window(service, now)
	requests, repeats := 0.0, 0.0
	for i := range windowSlots {
		requests += window.requests[i]
		repeats += window.repeats[i]
	}
	if repeats+1 > part*(r.share*requests+r.slack/float64(max(hosts, 1))) {
		return false
	}
	window.repeats[window.currentSlot%windowSlots]++
	return true
}

// window returns the counts of the service, after clearing the slots that are older than the window.
func (r *repeatBudget) window(service lavid.ServiceID, now time.Time) *repeatWindow {
	current := now.UnixNano() / int64(r.slotLength)
	window, found := r.windows[service]
	if !found {
		window = &repeatWindow{currentSlot: current}
		r.windows[service] = window
	}
	for cleared := int64(0); window.currentSlot < current && cleared < windowSlots; cleared++ {
		window.currentSlot++
		window.requests[window.currentSlot%windowSlots] = 0
		window.repeats[window.currentSlot%windowSlots] = 0
	}
	window.currentSlot = max(window.currentSlot, current)
	return window
}
