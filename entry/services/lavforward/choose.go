package lavforward

import (
	"math"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavbalance"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavdirectory"
	"lavenderswitch/core/services/lavforecast"
	"lavenderswitch/core/services/lavload"
)

const (
	// modelReadFactor is how many times longer a model is assumed to take to read a prompt than the next smaller model of the
	// route, until both were seen.
	modelReadFactor = 3
	// homeCachedShare is the share of a shared prompt prefix that the home server is assumed to have cached because
	// other hosts sent it there.
	homeCachedShare = 0.7
	// defaultOutputTokens is the assumed length of an answer when the request states none.
	defaultOutputTokens = 200
)

// choice is a backend server chosen for one send.
type choice struct {
	lavdirectory.Row
	model lavid.ModelID
	// unreadTokens is the prompt work that the request adds, and unreadTokensBefore the prompt work that is already
	// pending at the server; both are in tokens of the smallest model.
	unreadTokens       float64
	unreadTokensBefore float64
	// heldTokens is the part of the prompt that the engine is known to hold.
	heldTokens lavid.Tokens
	// candidateCount is the number of servers from which this one was chosen.
	candidateCount int
}

// choose returns the backend server for the next send, or false when no server may take the request now.
func (e *execution) choose(model lavid.ModelID, now time.Time) (choice, bool) {
	rows := e.candidates(e.excluded, now)
	if len(rows) == 0 {
		return choice{}, false
	}
	if e.request.Service.Engine == nil {
		return e.choosePlain(rows, now)
	}
	return e.chooseEngine(rows, model, noLimit, now)
}

// noLimit allows any delay at an engine.
const noLimit = time.Duration(math.MaxInt64)

// candidates returns the servers that may take the request, without the excluded ones. It prefers servers of a preferred
// release to those of a fallback release, and among servers of equal preference those that this host's own health records
// show as usable and that have not asked other hosts for a pause.
func (e *execution) candidates(excluded map[lavid.BackendServerID]bool, now time.Time) []*lavdirectory.Row {
	allowed := e.Releases.Preferences(e.request.Service.ID, e.sessionKey(), now)
	failed := e.health.unusable(now)
	rows := e.Directory.Usable(e.request.Service.ID, now)
	// The rank is 0 for a preferred and 2 for a fallback release, plus 1 for a server that is not usable.
	var ranked [4][]*lavdirectory.Row
	for _, row := range rows {
		preference := allowed(row.Release)
		if excluded[row.ID] || preference == lavcutover.Never || !e.mayTake(row, now) {
			continue
		}
		rank := 0
		if preference == lavcutover.Fallback {
			rank = 2
		}
		if failed[row.Instance()] || row.Relieve {
			rank++
		}
		if ranked[rank] == nil {
			ranked[rank] = make([]*lavdirectory.Row, 0, len(rows))
		}
		ranked[rank] = append(ranked[rank], row)
	}
	for _, rows := range ranked {
		if len(rows) > 0 {
			return rows
		}
	}
	return nil
}

// mayTake reports whether the route and the account may reach a server, and whether this host's parts of the rates that the server bears
// while it is cold, and that it states, allow a send to it.
func (e *execution) mayTake(row *lavdirectory.Row, now time.Time) bool {
	switch {
	case !e.request.Route.MayReach(e.request.Account, e.Regions[row.DataCentre]):
		return false
	case e.isRateLimited(row, now) && !e.Cold.WouldAllow(row.ID, e.coldRateLimit(), e.Hosts.Hosts(now), now):
		return false
	case row.Limit.Stated && !e.Limits.WouldAllow(row.Instance(), row.Limit.Rate, e.Hosts.Hosts(now), now):
		return false
	default:
		return true
	}
}

// isRateLimited reports whether the server is cold and its service states a rate for cold servers. Cold servers of a
// service without a stated rate take requests without a limit.
func (e *execution) isRateLimited(row *lavdirectory.Row, now time.Time) bool {
	return row.Cold(now) && e.request.Service.ColdRate > 0
}

// coldRateLimit returns the requests per second that all hosts together may send to a cold server.
func (e *execution) coldRateLimit() float64 {
	return e.request.Service.ColdRate * e.settings.ColdOverage
}

// sessionKey returns the key whose requests stay on one release: the session, or the request ID when there is none.
func (e *execution) sessionKey() string {
	if e.request.Session != "" {
		return string(e.request.Session)
	}
	return string(e.request.ID)
}

// chooseEngine returns the engine that is expected to answer first, of those at which the work in progress delays the request
// by at most maxDelay.
func (e *execution) chooseEngine(rows []*lavdirectory.Row, model lavid.ModelID, maxDelay time.Duration, now time.Time) (choice, bool) {
	home := e.homeServer(rows, model)
	looked := &engineSample{execution: e, model: model, held: e.heldPrompt(model, now), home: home, maxDelay: maxDelay, meanRate: e.health.meanFailureRate(rows), arrivals: e.memoryArrivals(now)}
	others := make([]*lavdirectory.Row, 0, len(rows))
	least := looked.held.leastParts()
	for _, row := range rows {
		if row.ID == home || looked.held.parts[row.Instance()] >= least {
			looked.add(row, now)
			continue
		}
		others = append(others, row)
	}
	looked.addSome(others, lavbalance.SampleSize(e.unreported(len(rows), now)), now)
	best := lavbalance.LeastWork(looked.engines)
	if best < 0 {
		return choice{}, false
	}
	chosen := looked.engines[best]
	row := looked.rows[best]
	return choice{Row: *row, model: model, heldTokens: looked.held.at(row), unreadTokens: chosen.AddedWork, unreadTokensBefore: chosen.Unread, candidateCount: len(rows)}, true
}

// maxLooked bounds the engines that are looked at for one choice, beside those that may hold a part of the prompt. Of several thousand
// engines that are all too busy, as many tell that a request has to wait.
const maxLooked = 96

// engineSample holds the engines among which one is chosen for a send.
type engineSample struct {
	*execution
	model    lavid.ModelID
	held     heldPrompt
	home     lavid.BackendServerID
	maxDelay time.Duration
	meanRate float64
	arrivals lavbalance.Arrivals
	engines  []lavbalance.Engine
	rows     []*lavdirectory.Row
}

// addSome adds a number of random engines that can take the request now, as hosts learn of each other's sends later and would all choose
// the same one.
func (s *engineSample) addSome(rows []*lavdirectory.Row, size int, now time.Time) {
	for looked := 0; size > 0 && looked < len(rows) && looked < maxLooked; looked++ {
		drawn := looked + int(s.random()*float64(len(rows)-looked))
		rows[looked], rows[drawn] = rows[drawn], rows[looked]
		if s.add(rows[looked], now) {
			size--
		}
	}
}

// add adds an engine and reports whether it can take the request now.
func (s *engineSample) add(row *lavdirectory.Row, now time.Time) bool {
	load := s.Loads.Expected(row.ID, s.Forecasts.ReadRate(row.Service, row.ID, now), now)
	if s.maxDelay != noLimit && s.Forecasts.Delay(lavforecast.Query{Service: row.Service, Server: row.ID, Before: load.Unread}, now) > s.maxDelay {
		return false
	}
	if !s.fitsMemory(row, load.Memory, s.arrivals, now) {
		return false
	}
	added := s.promptWork(row, s.model, s.held, row.ID == s.home)
	s.rows = append(s.rows, row)
	s.engines = append(s.engines, lavbalance.Engine{
		ID:                row.ID,
		Requests:          load.Requests,
		Slots:             row.Slots,
		Unread:            load.Unread,
		AddedWork:         added,
		Slowness:          s.Forecasts.Slowness(row.ID, now),
		WholeWork:         float64(s.request.Prompt.Input) * s.readFactor(s.model),
		Memory:            load.Memory + s.memoryTokens(),
		Capacity:          s.request.Service.Engine.Capacity,
		ExcessFailureRate: s.excessFailureRate(row, s.meanRate, now),
		Cold:              row.Cold(now),
		Far:               row.DataCentre != s.DataCentre,
		Late:              s.lateAt(row, load.Unread, added, now),
	})
	return true
}

// lateAt returns the probability that the first event of an answer comes after its target, at an engine that reads the given work for
// the request after other work.
func (e *execution) lateAt(row *lavdirectory.Row, before, own float64, now time.Time) lavid.Share {
	target := e.request.Route.LatencyTarget
	if target <= 0 || e.answerBegun {
		return 0
	}
	left := e.request.Arrived.Add(target).Sub(now)
	estimate := e.Forecasts.First(lavforecast.Query{Service: row.Service, Server: row.ID, Own: own, Before: before}, now)
	return 1 - lavforecast.Within(estimate.Expected, estimate.Spread, left)
}

// homeServer returns the server that all hosts prefer for the shared prefix of the prompt, by rendezvous hashing; it is
// empty when the prompt has no shared prefix.
func (e *execution) homeServer(rows []*lavdirectory.Row, model lavid.ModelID) lavid.BackendServerID {
	key := e.sharedPrefixKey()
	if key == "" {
		return ""
	}
	ids := func(yield func(lavid.HostID) bool) {
		for _, row := range rows {
			if !yield(lavid.HostID(row.ID)) {
				return
			}
		}
	}
	return lavid.BackendServerID(lavring.First(ids, key+string(model)))
}

// sharedPrefixKey returns the ID of the last prompt part before the request's own part, or nothing when the prompt has
// fewer than two parts.
func (e *execution) sharedPrefixKey() string {
	parts := e.request.Prompt.Parts
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

// readFactor returns how many times longer the model takes to read a prompt than the smallest model of the route.
func (e *execution) readFactor(model lavid.ModelID) float64 {
	for i, id := range e.request.Route.Models {
		if id == model && i > 0 {
			return e.speeds.readFactor(model, e.request.Route.Models[0], math.Pow(modelReadFactor, float64(i)))
		}
	}
	return 1
}

// memoryTokens returns the tokens of engine memory that the request is expected to occupy: prompt and answer.
func (e *execution) memoryTokens() lavid.Tokens {
	prompt := e.request.Prompt
	output := prompt.MaxOutput
	if prompt.Hint > 0 && (output == 0 || prompt.Hint < output) {
		output = prompt.Hint
	}
	if output == 0 {
		output = defaultOutputTokens
	}
	return prompt.Input + output
}

// choosePlain returns the least busy server of a plain service.
func (e *execution) choosePlain(rows []*lavdirectory.Row, now time.Time) (choice, bool) {
	servers := make([]lavbalance.PlainServer, 0, len(rows))
	meanRate := e.health.meanFailureRate(rows)
	for _, row := range rows {
		load := e.Loads.Total(row.ID, now)
		servers = append(servers, lavbalance.PlainServer{
			ID:                row.ID,
			Requests:          load.Requests,
			Slots:             row.Slots,
			ExcessFailureRate: e.excessFailureRate(row, meanRate, now),
			Cold:              row.Cold(now),
			Far:               row.DataCentre != e.DataCentre,
		})
	}
	best := lavbalance.LeastBusy(servers, e.random)
	if best < 0 {
		return choice{}, false
	}
	return choice{Row: *rows[best], candidateCount: len(rows)}, true
}

// excessFailureRate returns how far the server's recent failure rate exceeds the mean rate plus half of
// suspectFailureRate; it is never negative.
func (e *execution) excessFailureRate(row *lavdirectory.Row, meanRate float64, now time.Time) lavid.Share {
	_, rate := e.health.usable(row.Instance(), now)
	return lavid.Share(max(0, rate-meanRate-suspectFailureRate/2))
}

// reserve adds the send to the load of the server and records it for the server's release and the prompt cache. It returns
// false when this host's part of the rate of a cold server, or of a limit that the server states, is used up. release has to
// follow.
func (e *execution) reserve(chosen choice, model lavid.ModelID, now time.Time) (*lavload.Job, bool) {
	if e.isRateLimited(&chosen.Row, now) && !e.Cold.Allow(chosen.ID, e.coldRateLimit(), e.Hosts.Hosts(now), now) {
		return nil, false
	}
	if chosen.Limit.Stated && !e.Limits.Allow(chosen.Instance(), chosen.Limit.Rate, e.Hosts.Hosts(now), now) {
		return nil, false
	}
	e.Releases.RecordSend(chosen.Server, e.sessionKey(), now)
	if e.request.Service.Engine != nil {
		e.Metrics.countPrompt(chosen, e.request.Prompt.Input)
		e.Holdings.Record(e.request.promptKeys(model), chosen.Instance(), now)
	}
	e.arrivals.add(e.request.Service.ID, e.memoryTokens(), now)
	return e.Loads.Start(chosen.ID, lavload.Load{Unread: chosen.unreadTokens, Memory: e.memoryTokens()}), true
}

// release ends a reservation whose send has ended or is not made.
func (e *execution) release(chosen choice, job *lavload.Job) {
	job.End()
	e.Releases.RecordEnd(chosen.Server, e.sessionKey(), e.Clock())
}
