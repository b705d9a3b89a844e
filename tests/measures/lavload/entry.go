package lavload

import (
	"math/rand/v2"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavbalance"
	"lavenderswitch/core/services/lavlimit"
	"lavenderswitch/core/services/lavprefix"
	"lavenderswitch/core/services/lavqueue"
	"lavenderswitch/core/services/lavretry"
)

type ticketRef = *lavqueue.Ticket

// serverView is the state of a backend server that was last reported to an entry host, with the host's own requests there.
type serverView struct {
	server         *server
	running        int
	limit          int
	firstToken     time.Duration
	cold           bool
	reported       time.Time
	ownSinceReport int
	ownRunning     int
	health         lavbalance.Health
	// notConfigured means that the server is not in the configuration.
	notConfigured bool
}

// entry simulates an entry host.
type entry struct {
	id         lavid.HostID
	dataCentre lavid.DataCentreID
	policy     policy
	views      []*serverView
	queue      *lavqueue.Queue
	budget     *lavretry.Budget
	prefixes   *lavprefix.Table
	random     *rand.Rand
	next       int // counter of the round robin choice
	// outOfService holds the data centres that are out of service in this host's configuration.
	outOfService map[lavid.DataCentreID]bool
	returnedAt   map[lavid.DataCentreID]time.Time
}

const (
	maxAttempts     = 3
	maxQueued       = 2000
	maxQueuedTokens = 2 << 20
	prefixRows      = 4000
)

func newEntry(id lavid.HostID, dataCentre lavid.DataCentreID, p policy, servers []*server, seed uint64, now time.Time) *entry {
	random := rand.New(rand.NewPCG(seed, uint64(len(id))+uint64(id[len(id)-1])))
	e := &entry{
		id: id, dataCentre: dataCentre, policy: p, random: random,
		queue:        lavqueue.New(lavqueue.Settings{MaxRequests: maxQueued, MaxTokens: maxQueuedTokens}, random, now),
		budget:       lavretry.New(),
		prefixes:     lavprefix.New(prefixRows),
		outOfService: make(map[lavid.DataCentreID]bool),
		returnedAt:   make(map[lavid.DataCentreID]time.Time),
	}
	for _, s := range servers {
		e.views = append(e.views, &serverView{server: s, limit: s.limit(now)})
	}
	return e
}

// report updates the view from the load report of the server, which side processes attach to answer frames.
func (v *serverView) report(now time.Time) {
	v.running = v.server.engine.running()
	v.limit = v.server.limit(now)
	snapshot := v.server.limiter.Snapshot()
	v.firstToken = snapshot.FirstToken
	v.cold = v.server.kind == limitAdaptive && snapshot.Cold
	v.reported = now
	v.ownSinceReport = 0
}

// candidates returns the servers that may take a request and the views that they were derived from.
func (e *entry) candidates(r *request, reserved bool, excluded map[*server]bool, now time.Time) ([]lavbalance.Candidate, []*serverView) {
	candidates := make([]lavbalance.Candidate, 0, len(e.views))
	views := make([]*serverView, 0, len(e.views))
	for _, v := range e.views {
		if v.notConfigured || excluded[v.server] || e.outOfService[v.server.dataCentre] || !v.health.Usable(now) {
			continue
		}
		candidates = append(candidates, e.candidate(v, r, reserved, now))
		views = append(views, v)
	}
	return candidates, views
}

// candidate returns the view of a server as input of the balancer. r is nil if only the capacity matters.
func (e *entry) candidate(v *serverView, r *request, reserved bool, now time.Time) lavbalance.Candidate {
	candidate := lavbalance.Candidate{
		ID: v.server.id, DataCentre: v.server.dataCentre,
		Running: v.running, Limit: max(lavlimit.UsableLimit(v.limit, reserved), 1), ReportedAt: v.reported,
		OwnSinceReport: v.ownSinceReport, OwnRunning: v.ownRunning, FirstToken: v.firstToken, Cold: v.cold,
	}
	if v.server.dataCentre != e.dataCentre {
		candidate.Distance = lavbalance.SameRegion
	}
	if e.policy.ramp {
		candidate.AdmittedShare = min(lavbalance.RampShare(v.health.Returned, now), lavbalance.RampShare(e.returnedAt[v.server.dataCentre], now))
	}
	if e.policy.affinity && r != nil && e.random.Float64() >= e.policy.affinityBypass {
		candidate.CachedPrefix = e.prefixes.Probability(v.server.id, prefixKey(r), now)
	}
	return candidate
}

func prefixKey(r *request) lavprefix.Key {
	return lavprefix.Key{Version: "v", Prefix: lavprefix.Hash(r.prefix)}
}

// choose returns the server that the policy selects, or nil if none may take the request.
func (e *entry) choose(r *request, excluded map[*server]bool, now time.Time) *serverView {
	candidates, views := e.candidates(r, r.reserved(), excluded, now)
	if len(candidates) == 0 {
		return nil
	}
	switch e.policy.choice {
	case chooseRandom:
		return views[e.random.IntN(len(views))]
	case chooseRoundRobin:
		e.next++
		return views[e.next%len(views)]
	case chooseLeastRequests:
		return leastOwnRunning(views)
	default:
		chosen, _ := lavbalance.Choose(candidates, e.random, now)
		for _, v := range views {
			if v.server.id == chosen.ID {
				return v
			}
		}
		return nil
	}
}

// leastOwnRunning returns the server on which this entry host runs the fewest requests.
func leastOwnRunning(views []*serverView) *serverView {
	best := views[0]
	for _, v := range views[1:] {
		if v.ownRunning < best.ownRunning {
			best = v
		}
	}
	return best
}

// freeCapacity returns the capacity that the servers appear to have: free, only reserved, or none.
func (e *entry) freeCapacity(now time.Time) lavqueue.Capacity {
	regular, _ := e.candidates(nil, false, nil, now)
	if lavbalance.HasCapacity(regular, now) {
		return lavqueue.FreeCapacity
	}
	reserved, _ := e.candidates(nil, true, nil, now)
	if lavbalance.HasCapacity(reserved, now) {
		return lavqueue.ReservedCapacity
	}
	return lavqueue.NoCapacity
}

// viewOf returns the view of a server, or nil if the entry host has none.
func (e *entry) viewOf(s *server) *serverView {
	for _, v := range e.views {
		if v.server == s {
			return v
		}
	}
	return nil
}
