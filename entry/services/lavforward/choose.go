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
	// modelStep is how much longer a model reads a prompt than the next smaller one.
	modelStep = 3
	// homeCached is the part of a shared prompt that its home server is taken to have read for other hosts.
	homeCached = 0.5
	// usualOutput stands in for an answer whose length nobody stated.
	usualOutput = 200
)

// choice is a backend server chosen for one send.
type choice struct {
	lavdirectory.Row
	model lavid.ModelID
	// unread is the work that the request adds, and ahead what it waits for.
	unread float64
	ahead  float64
	// among is the number of servers that it was chosen from.
	among int
}

// choose returns the backend server for the next send, or false when none may take it now.
func (w *work) choose(model lavid.ModelID, now time.Time) (choice, bool) {
	rows := w.candidates(now)
	if len(rows) == 0 {
		return choice{}, false
	}
	if w.request.Service.Engine == nil {
		return w.choosePlain(rows, now)
	}
	return w.chooseEngine(rows, model, now)
}

// candidates returns the servers that may take the request, those of a preferred release that respond before all others.
func (w *work) candidates(now time.Time) []lavdirectory.Row {
	allowed := w.Releases.Allowed(w.request.Service.ID, w.sessionKey(), now)
	hosts := w.Hosts.Hosts(now)
	var ranked [4][]lavdirectory.Row
	for _, row := range w.Directory.Usable(w.request.Service.ID, now) {
		preference := allowed(row.Release)
		if w.excluded[row.ID] || preference == lavcutover.Never {
			continue
		}
		if !w.request.Route.MayReach(w.request.Account, w.Regions[row.DataCentre]) {
			continue
		}
		if w.isLimited(row, now) && !w.Cold.Room(row.ID, w.coldRate(), hosts, now) {
			continue
		}
		rank := 0
		if preference == lavcutover.Fallback {
			rank = 2
		}
		if usable, _ := w.health.usable(row.ID, now); !usable {
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

// isLimited tells whether a server may get a stated rate only; a service without one bears a cold start.
func (w *work) isLimited(row lavdirectory.Row, now time.Time) bool {
	return row.Cold(now) && w.request.Service.ColdRate > 0
}

// coldRate is what all hosts together may send to a cold server in a second.
func (w *work) coldRate() float64 {
	return w.request.Service.ColdRate * w.settings.ColdOverage
}

// sessionKey names what should stay on one release.
func (w *work) sessionKey() string {
	if w.request.Session != "" {
		return string(w.request.Session)
	}
	return string(w.request.ID)
}

func (w *work) chooseEngine(rows []lavdirectory.Row, model lavid.ModelID, now time.Time) (choice, bool) {
	engine := w.request.Service.Engine
	home := w.home(rows, model)
	engines := make([]lavbalance.Engine, 0, len(rows))
	usual := w.usualFailing(rows, now)
	for _, row := range rows {
		load := w.Loads.At(row.ID, now)
		engines = append(engines, lavbalance.Engine{
			ID:       row.ID,
			Requests: load.Requests,
			Slots:    row.Slots,
			Unread:   load.Unread,
			Own:      w.unread(row, model, row.ID == home, now),
			Memory:   load.Memory + w.memory(),
			Capacity: engine.Capacity,
			Failing:  w.failing(row.ID, usual, now),
			Cold:     row.Cold(now),
			Far:      row.DataCentre != w.DataCentre,
		})
	}
	best := lavbalance.LeastWork(engines)
	if best < 0 {
		return choice{}, false
	}
	return choice{Row: rows[best], model: model, unread: engines[best].Own, ahead: engines[best].Unread, among: len(rows)}, true
}

// home returns the server that all hosts prefer for the shared part of the prompt.
func (w *work) home(rows []lavdirectory.Row, model lavid.ModelID) lavid.BackendServerID {
	key := w.sharedKey()
	if key == "" {
		return ""
	}
	members := make([]lavring.Member, 0, len(rows))
	for _, row := range rows {
		members = append(members, lavring.Member{ID: lavid.HostID(row.ID)})
	}
	return lavid.BackendServerID(lavring.Ranked(members, key+string(model))[0].ID)
}

// sharedKey names the longest part of the prompt that other requests share.
func (w *work) sharedKey() string {
	parts := w.request.Prompt.Parts
	if len(parts) < 2 {
		return ""
	}
	return parts[len(parts)-2].ID
}

// unread is the time that the server needs to read the prompt, in tokens of the smallest model.
func (w *work) unread(row lavdirectory.Row, model lavid.ModelID, home bool, now time.Time) float64 {
	prompt := w.request.Prompt
	cached := float64(w.prompts.cached(row.ID, model, prompt, now))
	if home && cached == 0 {
		shared := lavid.Tokens(0)
		for _, part := range prompt.Parts[:max(len(prompt.Parts)-1, 0)] {
			shared += part.Tokens
		}
		cached = homeCached * float64(shared)
	}
	return max(float64(prompt.Input)-cached, 0) * w.slowness(model)
}

// slowness is how much longer the model takes than the smallest one.
func (w *work) slowness(model lavid.ModelID) float64 {
	for i, id := range w.request.Route.Models {
		if id == model {
			return math.Pow(modelStep, float64(i))
		}
	}
	return 1
}

// memory is the tokens that the request will hold.
func (w *work) memory() lavid.Tokens {
	prompt := w.request.Prompt
	output := prompt.MaxOutput
	if prompt.Hint > 0 && (output == 0 || prompt.Hint < output) {
		output = prompt.Hint
	}
	if output == 0 {
		output = usualOutput
	}
	return prompt.Input + output
}

func (w *work) choosePlain(rows []lavdirectory.Row, now time.Time) (choice, bool) {
	servers := make([]lavbalance.Plain, 0, len(rows))
	usual := w.usualFailing(rows, now)
	for _, row := range rows {
		load := w.Loads.At(row.ID, now)
		servers = append(servers, lavbalance.Plain{
			ID:       row.ID,
			Requests: load.Requests,
			Slots:    row.Slots,
			Failing:  w.failing(row.ID, usual, now),
			Cold:     row.Cold(now),
			Far:      row.DataCentre != w.DataCentre,
		})
	}
	best := lavbalance.LeastBusy(servers, w.random)
	if best < 0 {
		return choice{}, false
	}
	return choice{Row: rows[best], among: len(rows)}, true
}

// usualFailing is the mean failure rate of the servers.
func (w *work) usualFailing(rows []lavdirectory.Row, now time.Time) float64 {
	if len(rows) == 0 {
		return 0
	}
	sum := 0.0
	for _, row := range rows {
		_, failing := w.health.usable(row.ID, now)
		sum += failing
	}
	return sum / float64(len(rows))
}

// failing is how much more often than usual a server failed lately.
func (w *work) failing(id lavid.BackendServerID, usual float64, now time.Time) lavid.Share {
	_, failing := w.health.usable(id, now)
	return lavid.Share(max(0, failing-usual-suspectRate/2))
}

// start counts the send in the loads of the server, and takes its place at a cold one.
func (w *work) start(chosen choice, model lavid.ModelID, now time.Time) (*lavload.Job, bool) {
	if w.isLimited(chosen.Row, now) && !w.Cold.Take(chosen.ID, w.coldRate(), w.Hosts.Hosts(now), now) {
		return nil, false
	}
	w.Releases.RecordSend(chosen.Server, w.sessionKey(), now)
	w.prompts.sent(chosen.ID, model, w.request.Prompt, now)
	return w.Loads.Start(chosen.ID, chosen.unread, w.memory()), true
}
