package lavload

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

// reportLifetime is how long a peer's report counts; peers send several reports in that time.
const reportLifetime = 1500 * time.Millisecond

// Load is the work in progress at one backend server.
type Load struct {
	// Requests is the number of requests in progress.
	Requests int
	// Unread is the work of the prompts whose prefill has not been observed to end. Its unit is the prefill of one token by
	// the smallest model of a route.
	Unread float64
	// Memory is the number of tokens that the requests hold or will hold.
	Memory lavid.Tokens
}

// Plus returns the sum of both loads.
func (l Load) Plus(other Load) Load {
	return Load{Requests: l.Requests + other.Requests, Unread: l.Unread + other.Unread, Memory: l.Memory + other.Memory}
}

// Reporter identifies one part of a host's load report; a host may split its report into several parts.
type Reporter struct {
	Host lavid.HostID
	Part uint32
}

type report struct {
	loads      map[lavid.BackendServerID]Load
	receivedAt time.Time
}

// Ledger holds the loads of this host and the last reports of its peers. It is safe for concurrent use.
type Ledger struct {
	mu    sync.Mutex
	own   map[lavid.BackendServerID]Load
	peers map[Reporter]report
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{own: make(map[lavid.BackendServerID]Load), peers: make(map[Reporter]report)}
}

// Job is one request in progress at a backend server.
type Job struct {
	ledger *Ledger
	server lavid.BackendServerID
	load   Load
}

// Start adds a request to this host's load. The parameter unread is the work of its prompt in the unit of Load.Unread, and
// memory the number of tokens that the request will hold.
func (l *Ledger) Start(server lavid.BackendServerID, unread float64, memory lavid.Tokens) *Job {
	job := &Job{ledger: l, server: server, load: Load{Requests: 1, Unread: unread, Memory: memory}}
	l.add(server, job.load)
	return job
}

// MarkPromptRead removes the prompt from the unread work; the first event of the answer shows that its prefill is done.
func (j *Job) MarkPromptRead() {
	j.ledger.add(j.server, Load{Unread: -j.load.Unread})
	j.load.Unread = 0
}

// End removes the request. Further calls have no effect.
func (j *Job) End() {
	j.ledger.add(j.server, Load{Requests: -j.load.Requests, Unread: -j.load.Unread, Memory: -j.load.Memory})
	j.load = Load{}
}

func (l *Ledger) add(server lavid.BackendServerID, load Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.own[server].Plus(load)
	if sum.Requests == 0 {
		delete(l.own, server)
		return
	}
	l.own[server] = sum
}

// Own returns a copy of this host's loads.
func (l *Ledger) Own() map[lavid.BackendServerID]Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	loads := make(map[lavid.BackendServerID]Load, len(l.own))
	for server, load := range l.own {
		loads[server] = load
	}
	return loads
}

// SetPeerReport replaces one part of a peer's load report.
func (l *Ledger) SetPeerReport(peer Reporter, loads map[lavid.BackendServerID]Load, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[peer] = report{loads: loads, receivedAt: now}
}

// Total returns the load of all hosts together at a backend server.
func (l *Ledger) Total(server lavid.BackendServerID, now time.Time) Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := l.own[server]
	for peer, report := range l.peers {
		if now.Sub(report.receivedAt) > reportLifetime {
			delete(l.peers, peer)
			continue
		}
		sum = sum.Plus(report.loads[server])
	}
	return sum
}
