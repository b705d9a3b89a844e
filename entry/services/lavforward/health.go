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
	// suspectRate above the rate of all servers marks a server that fails while it says that it is well.
	suspectRate = 0.25
)

// health is what this host's own sends say of one backend server.
type health struct {
	lavbalance.Health
	failing float64
	// heard is when the server last sent anything.
	heard time.Time
	// answered are the latest sends that got an answer.
	answered []answeredSend
}

// answeredSend is a send that got an answer.
type answeredSend struct {
	sent time.Time
	rank int
}

const (
	// rememberedAnswers bounds the answered sends that are remembered of a server.
	rememberedAnswers = 16
	// overtakenBy later sends a send is taken to be lost; a server that works on many at once answers few out of order.
	overtakenBy = 4
)

// healths holds the health of the backend servers that this host sends to.
type healths struct {
	mu   sync.Mutex
	rows *lru.Cache[lavid.BackendServerID, health]
}

// rememberedServers bounds the backend servers whose health is remembered.
const rememberedServers = 4096

func newHealths() *healths {
	rows, err := lru.New[lavid.BackendServerID, health](rememberedServers)
	if err != nil {
		// New fails only for a size that is not positive.
		panic(err)
	}
	return &healths{rows: rows}
}

func (h *healths) row(server lavid.BackendServerID) health {
	row, _ := h.rows.Get(server)
	return row
}

// fail records a send that the server did not answer or failed.
func (h *healths) fail(server lavid.BackendServerID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	row.Health = row.AfterFailure(now)
	row.failing += failureWeight * (1 - row.failing)
	h.rows.Add(server, row)
}

// flaw records an answer that failed, from a server that otherwise responds.
func (h *healths) flaw(server lavid.BackendServerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	row.failing += failureWeight * (1 - row.failing)
	h.rows.Add(server, row)
}

// succeed records a good answer.
func (h *healths) succeed(server lavid.BackendServerID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	row.Health = row.AfterSuccess(now)
	row.failing -= failureWeight * row.failing
	h.rows.Add(server, row)
}

// hear records that the server sent something.
func (h *healths) hear(server lavid.BackendServerID, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	row.heard = now
	h.rows.Add(server, row)
}

// answer records that the server answered a send.
func (h *healths) answer(server lavid.BackendServerID, sent time.Time, rank int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	row.answered = append(slices.Clone(row.answered[max(0, len(row.answered)+1-rememberedAnswers):]), answeredSend{sent, rank})
	h.rows.Add(server, row)
}

// overtaken tells whether the server has answered enough later sends that were no more urgent than one that waits.
func (h *healths) overtaken(server lavid.BackendServerID, sent time.Time, rank int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	count := 0
	for _, later := range h.row(server).answered {
		if later.sent.After(sent) && later.rank >= rank {
			count++
		}
	}
	return count >= overtakenBy
}

// silent tells whether the server has sent nothing since a time.
func (h *healths) silent(server lavid.BackendServerID, since time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.row(server).heard.Before(since)
}

// usable tells whether the server may be chosen, and how often it failed lately.
func (h *healths) usable(server lavid.BackendServerID, now time.Time) (bool, float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.row(server)
	return row.Usable(now), row.failing
}
