package lavengine

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
)

// State is the reply to GET /state. Streams lists the attempts whose streams can be resumed, and AgeMillis is the age of
// the reported state.
type State struct {
	LoadedVersions      []lavid.VersionID
	LoadingVersions     []lavid.VersionID
	Running             int
	Waiting             int
	FirstTokenMicros    int64
	BetweenTokensMicros int64
	Role                string
	Epoch               lavid.Epoch
	Streams             []lavid.AttemptID
	AgeMillis           int64
}

type snapshot struct {
	at    time.Time
	state State
}

// maxSnapshots limits the history of states from which StateLag selects one.
const maxSnapshots = 1000

// TakeSnapshot adds the current state to the history from which StateLag selects one.
func (e *Engine) TakeSnapshot(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.snapshots = append(e.snapshots, snapshot{at: now, state: e.currentState()})
	if len(e.snapshots) > maxSnapshots {
		e.snapshots = slices.Clone(e.snapshots[len(e.snapshots)-maxSnapshots:])
	}
}

func (e *Engine) currentState() State {
	state := State{
		LoadedVersions:      slices.Clone(e.loaded),
		LoadingVersions:     slices.Clone(e.loading),
		Running:             e.running,
		FirstTokenMicros:    e.firstTokenMean.Microseconds(),
		BetweenTokensMicros: e.betweenTokensMean.Microseconds(),
		Role:                e.role,
		Epoch:               e.epoch,
	}
	for attempt := range e.streams {
		state.Streams = append(state.Streams, attempt)
	}
	slices.Sort(state.Streams)
	return state
}

// reportedState returns the newest snapshot that is at least StateLag old, or the current state when there is none.
func (e *Engine) reportedState(now time.Time) State {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.StateLag > 0 {
		for i := len(e.snapshots) - 1; i >= 0; i-- {
			if age := now.Sub(e.snapshots[i].at); age >= e.settings.StateLag {
				state := e.snapshots[i].state
				state.AgeMillis = age.Milliseconds()
				return state
			}
		}
	}
	return e.currentState()
}

func (e *Engine) state(w http.ResponseWriter, request *http.Request) {
	if !e.faults.Admit(request.Context(), lavfault.Call{HeldCall: heldCall(lavtruth.StepState, request)}) {
		lavfault.WriteRefusal(w)
		return
	}
	lavhttp.WriteJSON(w, http.StatusOK, e.reportedState(time.Now()))
}

func (e *Engine) showTruth(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	truth := e.truth
	truth.Orders = slices.Clone(e.truth.Orders)
	for _, run := range e.runs {
		truth.Runs = append(truth.Runs, *run)
	}
	e.mu.Unlock()
	truth.Holding = e.faults.HeldCalls()
	lavhttp.WriteJSON(w, http.StatusOK, truth)
}

type orderRequest struct {
	Epoch   lavid.Epoch
	Order   string
	Version lavid.VersionID
	Role    string
}

// Orders that an engine accepts.
const (
	orderLoad    = "Load"
	orderUnload  = "Unload"
	orderSetRole = "SetRole"
)

func (e *Engine) order(w http.ResponseWriter, request *http.Request) {
	var body orderRequest
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "order is not valid JSON", "see docs/BACKENDS.md"))
		return
	}
	if !e.faults.Admit(request.Context(), lavfault.Call{HeldCall: heldCall(lavtruth.StepOrder, request)}) {
		lavfault.WriteRefusal(w)
		return
	}
	if err := e.applyOrder(body, time.Now()); err != nil {
		lavhttp.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// applyOrder records an order and carries it out, unless its epoch is too old for a fenced engine.
func (e *Engine) applyOrder(body orderRequest, now time.Time) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	accepted := !e.settings.Fenced || body.Epoch >= e.epoch
	e.truth.Orders = append(e.truth.Orders, lavtruth.OrderRecord{
		Epoch: body.Epoch, Order: body.Order, Version: body.Version, Accepted: accepted, Received: now,
	})
	if !accepted {
		return laverror.New(laverror.KindConflict, "epoch of the order is below the highest one received", "read the epoch again")
	}
	if e.settings.Fenced {
		e.epoch = body.Epoch
	}
	switch body.Order {
	case orderLoad:
		return e.startLoad(body.Version)
	case orderUnload:
		e.loaded = withoutVersion(e.loaded, body.Version)
	case orderSetRole:
		e.role = body.Role
	default:
		return laverror.New(laverror.KindBadRequest, "unknown order", "use Load, Unload or SetRole")
	}
	return nil
}

// startLoad loads a version after LoadTime. It fails when no memory is left for another version.
func (e *Engine) startLoad(version lavid.VersionID) error {
	if slices.Contains(e.loaded, version) || slices.Contains(e.loading, version) {
		return nil
	}
	limit := e.settings.MemoryVersions
	if limit > 0 && len(e.loaded)+len(e.loading) >= limit {
		return laverror.New(laverror.KindOverloaded, "no memory for another version", "unload a version first")
	}
	e.loading = append(e.loading, version)
	time.AfterFunc(e.settings.LoadTime, func() {
		e.mu.Lock()
		e.loading = withoutVersion(e.loading, version)
		e.mu.Unlock()
		e.Load(version)
	})
	return nil
}

func withoutVersion(versions []lavid.VersionID, version lavid.VersionID) []lavid.VersionID {
	return slices.DeleteFunc(slices.Clone(versions), func(candidate lavid.VersionID) bool { return candidate == version })
}
