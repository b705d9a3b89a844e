package lavforward

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavbalance"
	"lavenderswitch/core/services/lavdirectory"
)

const (
	// failureWeight is the weight of the newest outcome in the moving average of a server's failure rate.
	failureWeight = 0.15
	// suspectFailureRate is the excess over the mean failure rate at which a server is suspected of failing although it
	// reports itself healthy. Half of it is tolerated when servers are compared.
	suspectFailureRate = 0.25
)

// health is the health of one instance of a backend server as observed by this host's own sends. An instance that starts again
// under the same ID has a health of its own.
type health struct {
	lavbalance.Health
	failureRate float64
	// lastActivity is when the server last sent anything to this host.
	lastActivity time.Time
	// recentAnswers holds the latest sends that the server answered.
	recentAnswers []answeredSend
}

// answeredSend is a send that the server answered, with its rank.
type answeredSend struct {
	sentAt time.Time
	rank   int
}

const (
	// maxRecentAnswers is the number of answered sends kept for each server.
	maxRecentAnswers = 16
	// overtakenThreshold is the number of later sends that must be answered before a waiting send counts as lost. A server
	// that runs many requests at once answers a few of them out of order.
	overtakenThreshold = 4
)

// healthTable holds the health of the backend servers that this host sends to; it is safe for concurrent use.
type healthTable struct {
	mu   sync.Mutex
	rows *lru.Cache[lavserver.InstanceKey, health]
	// failed holds until when instances that failed must not be chosen.
	failed map[lavserver.InstanceKey]time.Time
}

// maxHealthRows is the number of backend servers whose health is kept.
const maxHealthRows = 4096

func newHealthTable() *healthTable {
	rows, err := lru.New[lavserver.InstanceKey, health](maxHealthRows)
	if err != nil {
		// New fails only for a size that is not positive.
		panic(err)
	}
	return &healthTable{rows: rows, failed: make(map[lavserver.InstanceKey]time.Time)}
}

func (h *healthTable) row(server lavserver.InstanceKey) health {
	row, _ := h.rows.Get(server)
	return row
}

// recordFailure records a send without a complete answer. It makes the server unusable for a while.
func (h *healthTable) recordFailure(server lavserver.InstanceKey, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	row.Health = row.AfterFailure(now)
	row.failureRate += failureWeight * (1 - row.failureRate)
	h.rows.Add(server, row)
	h.failed[server] = row.FailedUntil
}

// recordErrorAnswer records a refusal or an error answer. It raises the failure rate and leaves the server usable.
func (h *healthTable) recordErrorAnswer(server lavserver.InstanceKey) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	row.failureRate += failureWeight * (1 - row.failureRate)
	h.rows.Add(server, row)
}

// recordSuccess records a complete answer.
func (h *healthTable) recordSuccess(server lavserver.InstanceKey, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	row.Health = row.AfterSuccess(now)
	row.failureRate -= failureWeight * row.failureRate
	h.rows.Add(server, row)
}

// recordActivity records that the server sent something at the given time.
func (h *healthTable) recordActivity(server lavserver.InstanceKey, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	row.lastActivity = now
	h.rows.Add(server, row)
}

// recordAnswer records that the server answered the send that was sent at sentAt.
func (h *healthTable) recordAnswer(server lavserver.InstanceKey, sentAt time.Time, rank int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	row.recentAnswers = append(slices.Clone(row.recentAnswers[max(0, len(row.recentAnswers)+1-maxRecentAnswers):]), answeredSend{sentAt, rank})
	h.rows.Add(server, row)
}

// overtaking returns how many later sends the server has answered that were no more urgent than the waiting one.
func (h *healthTable) overtaking(server lavserver.InstanceKey, sentAt time.Time, rank int) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, later := range h.row(server).recentAnswers {
		if later.sentAt.After(sentAt) && later.rank >= rank {
			count++
		}
	}
	return count
}

// silentSince reports whether the server has sent nothing to this host since the given time.
func (h *healthTable) silentSince(server lavserver.InstanceKey, since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.row(server).lastActivity.Before(since)
}

// usable reports whether the server may be chosen, and returns its recent failure rate.
func (h *healthTable) usable(server lavserver.InstanceKey, now time.Time) (bool, float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	return row.Usable(now), row.failureRate
}

// meanFailureRate returns the mean of the recent failure rates of servers, or zero without servers.
func (h *healthTable) meanFailureRate(servers []*lavdirectory.Row) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0.0
	for _, server := range servers {
		if row, found := h.rows.Peek(server.Instance()); found {
			sum += row.failureRate
		}
	}
	return sum / float64(max(len(servers), 1))
}

// unusable returns the instances that must not be chosen.
func (h *healthTable) unusable(now time.Time) map[lavserver.InstanceKey]bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	var instances map[lavserver.InstanceKey]bool
	for instance, until := range h.failed {
		if !now.Before(until) {
			delete(h.failed, instance)
			continue
		}
		if instances == nil {
			instances = make(map[lavserver.InstanceKey]bool)
		}
		instances[instance] = true
	}
	return instances
}
