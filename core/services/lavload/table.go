package lavload

import (
	"iter"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

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

// Minus returns the difference of both loads; no part of it is below zero.
func (l Load) Minus(other Load) Load {
	return Load{
		Requests: max(l.Requests-other.Requests, 0),
		Unread:   max(l.Unread-other.Unread, 0),
		Memory:   max(l.Memory-other.Memory, 0),
	}
}

// ServerKey identifies a backend server in reports between hosts. It is a hash of the server's ID; two servers with one key
// each count as loaded with the work of both.
type ServerKey uint32

// KeyOf returns the key of a backend server.
func KeyOf(id lavid.BackendServerID) ServerKey {
	return ServerKey(uint32(xxhash.Sum64String(string(id))))
}

// Table holds the loads of this host and the sums of its peers. It is safe for concurrent use.
type Table struct {
	mu  sync.Mutex
	own map[lavid.BackendServerID]Load
	// peers holds the loads of all other hosts as of peersAt, which count until peersUntil.
	peers      map[ServerKey]Load
	peersAt    time.Time
	peersUntil time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{own: make(map[lavid.BackendServerID]Load)}
}

// Job is one request in progress at a backend server.
type Job struct {
	table  *Table
	server lavid.BackendServerID
	load   Load
}

// Start adds a request to this host's load, with the work of its prompt and the memory that it will hold.
func (t *Table) Start(server lavid.BackendServerID, load Load) *Job {
	load.Requests = 1
	job := &Job{table: t, server: server, load: load}
	t.add(server, job.load)
	return job
}

// MarkPromptRead removes the prompt from the unread work; the first event of the answer shows that its prefill is done.
func (j *Job) MarkPromptRead() {
	j.table.add(j.server, Load{Unread: -j.load.Unread})
	j.load.Unread = 0
}

// End removes the request. Further calls have no effect.
func (j *Job) End() {
	j.table.add(j.server, Load{Requests: -j.load.Requests, Unread: -j.load.Unread, Memory: -j.load.Memory})
	j.load = Load{}
}

func (t *Table) add(server lavid.BackendServerID, load Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.own[server].Plus(load)
	if sum.Requests == 0 {
		delete(t.own, server)
		return
	}
	t.own[server] = sum
}

// Own returns a copy of this host's loads.
func (t *Table) Own() map[lavid.BackendServerID]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[lavid.BackendServerID]Load, len(t.own))
	for server, load := range t.own {
		loads[server] = load
	}
	return loads
}

// SetPeers replaces the loads of all other hosts, which were reported at the given time on average. They count until the given
// time. The table keeps the map.
func (t *Table) SetPeers(loads map[ServerKey]Load, at, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers, t.peersAt, t.peersUntil = loads, at, until
}

// PeersAge returns the mean age of the loads of the other hosts, or zero if none count.
func (t *Table) PeersAge(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !now.Before(t.peersUntil) {
		return 0
	}
	return max(now.Sub(t.peersAt), 0)
}

// unreplacedShare is the part of what a server reads that other hosts do not replace by new work meanwhile. Busy servers get nearly
// as much as they read; with the whole of it taken off, servers that are still busy would look idle.
const unreplacedShare = 0.5

// Expected returns the load of all hosts together at a backend server that reads readRate of work a second. What the other hosts
// reported is less by a part of what the server can have read since.
func (t *Table) Expected(server lavid.BackendServerID, readRate float64, now time.Time) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !now.Before(t.peersUntil) {
		return t.own[server]
	}
	peers := t.peers[KeyOf(server)]
	peers.Unread = max(peers.Unread-unreplacedShare*readRate*max(now.Sub(t.peersAt), 0).Seconds(), 0)
	return t.own[server].Plus(peers)
}

// CountWithin returns for how many of the servers the memory held by all hosts together is at most the given one.
func (t *Table) CountWithin(servers iter.Seq[lavid.BackendServerID], memory lavid.Tokens, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	valid := now.Before(t.peersUntil)
	count := 0
	for server := range servers {
		used := t.own[server].Memory
		if valid {
			used += t.peers[KeyOf(server)].Memory
		}
		if used <= memory {
			count++
		}
	}
	return count
}

// Total returns the load of all hosts together at a backend server.
func (t *Table) Total(server lavid.BackendServerID, now time.Time) Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !now.Before(t.peersUntil) {
		return t.own[server]
	}
	return t.own[server].Plus(t.peers[KeyOf(server)])
}
