package lavforward

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavbalance"
)

const (
	// failureWeight is the part of the newest outcome in a server's failure rate.
	failureWeight = 0.15
	// suspectFailureRate above the rate of all servers marks a server that fails while it says that it is well.
	suspectFailureRate = 0.25
)

// health is what this host's own sends say of one backend server.
type health struct {
	lavbalance.Health
	failureRate float64
	// lastActivity is when the server last sent anything.
	lastActivity time.Time
	// recentAnswers are the latest sends that got an answer.
	recentAnswers []answeredSend
}

// answeredSend is a send that got an answer.
type answeredSend struct {
	sent time.Time
	rank int
}

const (
	// maxRecentAnswers bounds the answered sends that are remembered of a server.
	maxRecentAnswers = 16
	// overtakenThreshold later sends a send is taken to be lost; a server that works on many at once answers few out of order.
	overtakenThreshold = 4
)

// healthTable holds the health of the backend servers that this host sends to.
type healthTable struct {
	mu   sync.Mutex
	rows *lru.Cache[lavid.BackendServerID, health]
}

// maxHealthRows bounds the backend servers whose health is remembered.
const maxHealthRows = 4096

func newHealthTable() *healthTable {
	rows, err := lru.New[lavid.BackendServerID, health](maxHealthRows)
	if err != nil {
		// New fails only for a size that is not positive.
		panic(err)
	}
	return &healthTable{rows: rows}
}

func (h *healthTable) row(server lavid.BackendServerID) health {
	row, _ := h.rows.Get(server)
	return row
}

// recordFailure records a send that the server did not answer or failed.
func (h *healthTable) recordFailure(server lavid.BackendServerID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	row.Health = row.Fail(now)
	row.failureRate += failureWeight * (1 - row.failureRate)
	h.rows.Add(server, row)
}

// recordErrorAnswer records an answer that failed, from a server that otherwise responds.
func (h *healthTable) recordErrorAnswer(server lavid.BackendServerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	row.failureRate += failureWeight * (1 - row.failureRate)
	h.rows.Add(server, row)
}

// recordSuccess records a good answer.
func (h *healthTable) recordSuccess(server lavid.BackendServerID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	row.Health = row.Succeed(now)
	row.failureRate -= failureWeight * row.failureRate
	h.rows.Add(server, row)
}

// recordActivity records that the server sent something.
func (h *healthTable) recordActivity(server lavid.BackendServerID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	row.lastActivity = now
	h.rows.Add(server, row)
}

// recordAnswer records that the server answered a send.
func (h *healthTable) recordAnswer(server lavid.BackendServerID, sent time.Time, rank int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	row.recentAnswers = append(slices.Clone(row.recentAnswers[max(0, len(row.recentAnswers)+1-maxRecentAnswers):]), answeredSend{sent, rank})
	h.rows.Add(server, row)
}

// overtaken tells whether the server has answered enough later sends that were no more urgent than one that waits.
func (h *healthTable) overtaken(server lavid.BackendServerID, sent time.Time, rank int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	overtaking := 0
	for _, later := range h.row(server).recentAnswers {
		if later.sent.After(sent) && later.rank >= rank {
			overtaking++
		}
	}
	return overtaking >= overtakenThreshold
}

// silentSince tells whether the server has sent nothing since a time.
func (h *healthTable) silentSince(server lavid.BackendServerID, since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.row(server).lastActivity.Before(since)
}

// usable tells whether the server may be chosen, and how often it failed lately.
func (h *healthTable) usable(server lavid.BackendServerID, now time.Time) (bool, float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	return row.Usable(now), row.failureRate
}
