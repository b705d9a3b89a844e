package lavforward

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

// repeatSlots is the number of parts that the window of the repeat budget is counted in.
const repeatSlots = 10

// repeats bounds the sends beyond the first of each request, per service.
type repeats struct {
	share float64
	slack float64
	slot  time.Duration

	mu   sync.Mutex
	rows map[lavid.ServiceID]*repeatRow
}

type repeatRow struct {
	slot     int64
	requests [repeatSlots]float64
	sends    [repeatSlots]float64
}

func newRepeats(settings Settings) *repeats {
	return &repeats{
		share: settings.RepeatShare,
		slack: settings.RepeatSlack,
		slot:  max(settings.RepeatWindow/repeatSlots, time.Millisecond),
		rows:  make(map[lavid.ServiceID]*repeatRow),
	}
}

// first counts a request.
func (r *repeats) first(service lavid.ServiceID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.row(service, now)
	row.requests[row.slot%repeatSlots]++
}

// take counts one further send, or returns false when this host's part of the window's budget is used up.
func (r *repeats) take(service lavid.ServiceID, hosts int, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.row(service, now)
	requests, sends := 0.0, 0.0
	for i := range repeatSlots {
		requests += row.requests[i]
		sends += row.sends[i]
	}
	if sends+1 > r.share*requests+r.slack/float64(max(hosts, 1)) {
		return false
	}
	row.sends[row.slot%repeatSlots]++
	return true
}

// row returns the service's counts with the slots that have passed cleared.
func (r *repeats) row(service lavid.ServiceID, now time.Time) *repeatRow {
	current := now.UnixNano() / int64(r.slot)
	row, known := r.rows[service]
	if !known {
		row = &repeatRow{slot: current}
		r.rows[service] = row
	}
	for passed := int64(0); row.slot < current && passed < repeatSlots; passed++ {
		row.slot++
		row.requests[row.slot%repeatSlots] = 0
		row.sends[row.slot%repeatSlots] = 0
	}
	row.slot = max(row.slot, current)
	return row
}
