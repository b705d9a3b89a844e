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

// view is what an entry host knows of one server.
type view struct {
	server   *server
	running  int
	limit    int
	first    time.Duration
	cold     bool
	reported time.Time
	ownSince int
	own      int
	health   lavbalance.Health
	// absent says that the server is not in the configuration.
	absent bool
}

// entry is one entry host.
type entry struct {
	id         lavid.HostID
	dataCentre lavid.DataCentreID
	policy     policy
	views      []*view
	queue      *lavqueue.Queue
	budget     *lavretry.Budget
	prefixes   *lavprefix.Table
	random     *rand.Rand
	next       int
	// in says which data centres this host believes to be in service.
	outCentres map[lavid.DataCentreID]bool
	returned   map[lavid.DataCentreID]time.Time
}

const (
	maxTried      = 3
	maxQueued     = 2000
	maxQueuedSize = 2 << 20
	prefixRows    = 4000
)

func newEntry(id lavid.HostID, dataCentre lavid.DataCentreID, p policy, servers []*server, seed uint64, now time.Time) *entry {
	random := rand.New(rand.NewPCG(seed, uint64(len(id))+uint64(id[len(id)-1])))
	e := &entry{
		id: id, dataCentre: dataCentre, policy: p, random: random,
		queue:      lavqueue.New(lavqueue.Settings{MaxRequests: maxQueued, MaxTokens: maxQueuedSize}, random, now),
		budget:     lavretry.New(),
		prefixes:   lavprefix.New(prefixRows),
		outCentres: make(map[lavid.DataCentreID]bool),
		returned:   make(map[lavid.DataCentreID]time.Time),
	}
	for _, s := range servers {
		e.views = append(e.views, &view{server: s, limit: s.limit(now)})
	}
	return e
}

// report takes a load as it rides on a frame.
func (v *view) report(now time.Time) {
	v.running = v.server.engine.running()
	v.limit = v.server.limit(now)
	snapshot := v.server.limiter.Snapshot()
	v.first = snapshot.FirstToken
	v.cold = v.server.kind == limitAdaptive && snapshot.Cold
	v.reported = now
	v.ownSince = 0
}

func (e *entry) candidates(r *request, reserved bool, excluded map[*server]bool, now time.Time) ([]lavbalance.Candidate, []*view) {
	candidates := make([]lavbalance.Candidate, 0, len(e.views))
	views := make([]*view, 0, len(e.views))
	for _, v := range e.views {
		if v.absent || excluded[v.server] || e.outCentres[v.server.dataCentre] || !v.health.Usable(now) {
			continue
		}
		candidates = append(candidates, e.candidate(v, r, reserved, now))
		views = append(views, v)
	}
	return candidates, views
}

func (e *entry) candidate(v *view, r *request, reserved bool, now time.Time) lavbalance.Candidate {
	candidate := lavbalance.Candidate{
		ID: v.server.id, DataCentre: v.server.dataCentre,
		Running: v.running, Limit: max(lavlimit.UsableLimit(v.limit, reserved), 1), ReportedAt: v.reported,
		OwnSinceReport: v.ownSince, OwnRunning: v.own, FirstToken: v.first, Cold: v.cold,
	}
	if v.server.dataCentre != e.dataCentre {
		candidate.Distance = lavbalance.SameRegion
	}
	if e.policy.ramp {
		candidate.AdmittedShare = min(lavbalance.RampShare(v.health.Returned, now), lavbalance.RampShare(e.returned[v.server.dataCentre], now))
	}
	if e.policy.affinity && r != nil && e.random.Float64() >= e.policy.spread {
		candidate.CachedPrefix = e.prefixes.Probability(v.server.id, prefixKey(r), now)
	}
	return candidate
}

func prefixKey(r *request) lavprefix.Key {
	return lavprefix.Key{Version: "v", Prefix: lavprefix.Hash(r.prefix)}
}

func (e *entry) choose(r *request, excluded map[*server]bool, now time.Time) *view {
	candidates, views := e.candidates(r, r.reserved(), excluded, now)
	if len(candidates) == 0 {
		return nil
	}
	switch e.policy.choice {
	case chooseRandom:
		return views[e.random.IntN(len(views))]
	case chooseRobin:
		e.next++
		return views[e.next%len(views)]
	case chooseLeast:
		return leastOwn(views)
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

func leastOwn(views []*view) *view {
	best := views[0]
	for _, v := range views[1:] {
		if v.own < best.own {
			best = v
		}
	}
	return best
}

func (e *entry) room(now time.Time) lavqueue.Capacity {
	usual, _ := e.candidates(nil, false, nil, now)
	if lavbalance.HasCapacity(usual, now) {
		return lavqueue.FreeCapacity
	}
	kept, _ := e.candidates(nil, true, nil, now)
	if lavbalance.HasCapacity(kept, now) {
		return lavqueue.ReservedCapacity
	}
	return lavqueue.NoCapacity
}

func (e *entry) viewOf(s *server) *view {
	for _, v := range e.views {
		if v.server == s {
			return v
		}
	}
	return nil
}
