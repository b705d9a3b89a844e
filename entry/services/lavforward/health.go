package lavforward

import (
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
}

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
	row.Health = row.Fail(now)
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
	row.Health = row.Succeed(now)
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
