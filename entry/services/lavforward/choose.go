package lavforward

import (
	"math"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavbalance"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavdirectory"
	"lavenderswitch/core/services/lavload"
)

const (
	// modelReadFactor is how much longer a model reads a prompt than the next smaller one.
	modelReadFactor = 3
	// homeCachedShare is the part of a shared prompt that its home server is taken to have read for other hosts.
	homeCachedShare = 0.5
	// defaultOutputTokens stands in for an answer whose length nobody stated.
	defaultOutputTokens = 200
)

// choice is a backend server chosen for one send.
type choice struct {
	lavdirectory.Row
	model lavid.ModelID
	// unreadTokens is the work that the request adds, and ahead what it waits for.
	unreadTokens       float64
	unreadTokensBefore float64
	// candidateCount is the number of servers that it was chosen from.
	candidateCount int
}

// choose returns the backend server for the next send, or false when none may take it now.
func (e *execution) choose(model lavid.ModelID, now time.Time) (choice, bool) {
	rows := e.candidates(now)
	if len(rows) == 0 {
		return choice{}, false
	}
	if e.request.Service.Engine == nil {
		return e.choosePlain(rows, now)
	}
	return e.chooseEngine(rows, model, now)
}

// candidates returns the servers that may take the request, those of a preferred release that respond before all others.
func (e *execution) candidates(now time.Time) []lavdirectory.Row {
	allowed := e.Releases.Allowed(e.request.Service.ID, e.sessionKey(), now)
	hosts := e.Hosts.Hosts(now)
	var ranked [4][]lavdirectory.Row
	for _, row := range e.Directory.Usable(e.request.Service.ID, now) {
		preference := allowed(row.Release)
		if e.excluded[row.ID] || preference == lavcutover.Never {
			continue
		}
		if !e.request.Route.MayReach(e.request.Account, e.Regions[row.DataCentre]) {
			continue
		}
		if e.isRateLimited(row, now) && !e.Cold.Room(row.ID, e.coldRateLimit(), hosts, now) {
			continue
		}
		rank := 0
		if preference == lavcutover.Fallback {
			rank = 2
		}
		if usable, _ := e.health.usable(row.ID, now); !usable {
			rank++
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

// isRateLimited tells whether a server may get a stated rate only; a service without one bears a cold start.
func (e *execution) isRateLimited(row lavdirectory.Row, now time.Time) bool {
	return row.Cold(now) && e.request.Service.ColdRate > 0
}

// coldRateLimit is what all hosts together may send to a cold server in a second.
func (e *execution) coldRateLimit() float64 {
	return e.request.Service.ColdRate * e.settings.ColdOverage
}

// sessionKey names what should stay on one release.
func (e *execution) sessionKey() string {
	if e.request.Session != "" {
		return string(e.request.Session)
	}
	return string(e.request.ID)
}

func (e *execution) chooseEngine(rows []lavdirectory.Row, model lavid.ModelID, now time.Time) (choice, bool) {
	engine := e.request.Service.Engine
	home := e.homeServer(rows, model)
	engines := make([]lavbalance.Engine, 0, len(rows))
	meanRate := e.meanFailureRate(rows, now)
	for _, row := range rows {
		load := e.Loads.At(row.ID, now)
		engines = append(engines, lavbalance.Engine{
			ID:       row.ID,
			Requests: load.Requests,
			Slots:    row.Slots,
			Unread:   load.Unread,
			Own:      e.promptWork(row, model, row.ID == home, now),
			Memory:   load.Memory + e.memoryTokens(),
			Capacity: engine.Capacity,
			Failing:  e.excessFailureRate(row.ID, meanRate, now),
			Cold:     row.Cold(now),
			Far:      row.DataCentre != e.DataCentre,
		})
	}
	best := lavbalance.LeastWork(engines)
	if best < 0 {
		return choice{}, false
	}
	return choice{Row: rows[best], model: model, unreadTokens: engines[best].Own, unreadTokensBefore: engines[best].Unread, candidateCount: len(rows)}, true
}

// homeServer returns the server that all hosts prefer for the shared part of the prompt.
func (e *execution) homeServer(rows []lavdirectory.Row, model lavid.ModelID) lavid.BackendServerID {
	key := e.sharedPrefixKey()
	if key == "" {
		return ""
	}
	members := make([]lavring.Member, 0, len(rows))
	for _, row := range rows {
		members = append(members, lavring.Member{ID: lavid.HostID(row.ID)})
	}
	return lavid.BackendServerID(lavring.Ranked(members, key+string(model))[0].ID)
}

// sharedPrefixKey names the longest part of the prompt that other requests share.
func (e *execution) sharedPrefixKey() string {
	parts := e.request.Prompt.Parts
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

// promptWork is the time that the server needs to read the prompt, in tokens of the smallest model.
func (e *execution) promptWork(row lavdirectory.Row, model lavid.ModelID, isHome bool, now time.Time) float64 {
	prompt := e.request.Prompt
	cached := float64(e.prompts.cachedTokens(row.ID, model, prompt, now))
	if isHome && cached == 0 {
		shared := lavid.Tokens(0)
		for _, part := range prompt.Parts[:max(len(prompt.Parts)-1, 0)] {
			shared += part.Tokens
		}
		cached = homeCachedShare * float64(shared)
	}
	return max(float64(prompt.Input)-cached, 0) * e.readFactor(model)
}

// readFactor is how much longer the model takes than the smallest one.
func (e *execution) readFactor(model lavid.ModelID) float64 {
	for i, id := range e.request.Route.Models {
		if id == model {
			return math.Pow(modelReadFactor, float64(i))
		}
	}
	return 1
}

// memoryTokens is the tokens that the request will hold.
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

func (e *execution) choosePlain(rows []lavdirectory.Row, now time.Time) (choice, bool) {
	servers := make([]lavbalance.Plain, 0, len(rows))
	meanRate := e.meanFailureRate(rows, now)
	for _, row := range rows {
		load := e.Loads.At(row.ID, now)
		servers = append(servers, lavbalance.Plain{
			ID:       row.ID,
			Requests: load.Requests,
			Slots:    row.Slots,
			Failing:  e.excessFailureRate(row.ID, meanRate, now),
			Cold:     row.Cold(now),
			Far:      row.DataCentre != e.DataCentre,
		})
	}
	best := lavbalance.LeastBusy(servers, e.random)
	if best < 0 {
		return choice{}, false
	}
	return choice{Row: rows[best], candidateCount: len(rows)}, true
}

// meanFailureRate is the mean failure rate of the servers.
func (e *execution) meanFailureRate(rows []lavdirectory.Row, now time.Time) float64 {
	if len(rows) == 0 {
		return 0
	}
	sum := 0.0
	for _, row := range rows {
		_, failing := e.health.usable(row.ID, now)
		sum += failing
	}
	return sum / float64(len(rows))
}

// excessFailureRate is how much more often than usual a server failed lately.
func (e *execution) excessFailureRate(id lavid.BackendServerID, meanRate float64, now time.Time) lavid.Share {
	_, rate := e.health.usable(id, now)
	return lavid.Share(max(0, rate-meanRate-suspectFailureRate/2))
}

// reserve counts the send in the loads of the server, and takes its place at a cold one.
func (e *execution) reserve(chosen choice, model lavid.ModelID, now time.Time) (*lavload.Job, bool) {
	if e.isRateLimited(chosen.Row, now) && !e.Cold.Take(chosen.ID, e.coldRateLimit(), e.Hosts.Hosts(now), now) {
		return nil, false
	}
	e.Releases.Seat(chosen.Server, e.sessionKey(), now)
	e.prompts.add(chosen.ID, model, e.request.Prompt, now)
	return e.Loads.Start(chosen.ID, chosen.unreadTokens, e.memoryTokens()), true
}
