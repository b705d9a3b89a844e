package lavdispatch

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavlimit"
	"lavenderswitch/side/services/lavbackend"
	"lavenderswitch/wire/lavwire"
)

// maxStateAge is the age of the last state read after which the backend server is assumed to have no version loaded.
const maxStateAge = 3 * time.Second

// Load returns the current load of the backend server.
func (d *Dispatcher) Load() *lavwire.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	snapshot := d.limiter.Snapshot()
	load := &lavwire.Load{
		BackendServerId:     string(d.Server),
		Running:             int32(snapshot.Running),
		Waiting:             int32(d.backendState.Waiting),
		Limit:               int32(snapshot.Limit),
		RunningTokens:       int64(snapshot.RunningTokens),
		LimitTokens:         int64(snapshot.LimitTokens),
		FirstTokenMicros:    snapshot.FirstToken.Microseconds(),
		BetweenTokensMicros: snapshot.BetweenTokens.Microseconds(),
		Cold:                snapshot.Cold,
		Leaving:             d.leaving || d.hostLeaving,
	}
	for _, version := range d.backendState.LoadedVersions {
		load.LoadedVersions = append(load.LoadedVersions, string(version))
	}
	return load
}

// Refresh reads the backend server's state and reports whether it could be read. The limiter restarts when the server has
// restarted or was unreachable.
func (d *Dispatcher) Refresh(ctx context.Context) (lavbackend.State, bool) {
	state, err := d.Backend.ReadState(ctx)
	now := time.Now()
	if err != nil {
		d.Log.WithError(err).WithField(lavlog.FieldServer, d.Server).Warning("cannot read the state of the backend server; retrying at the next tick")
		d.recordMissedState(err, now)
		return lavbackend.State{}, false
	}
	d.applyState(state, now)
	return state, true
}

// applyState stores a state. It restarts the limiter at the first state, at the first one after an outage, and when a version
// is no longer loaded.
func (d *Dispatcher) applyState(state lavbackend.State, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.stateReadAt.IsZero() || lostVersion(d.backendState.LoadedVersions, state.LoadedVersions) {
		d.limiter.Restart(now)
	}
	d.backendState = state
	d.stateReadAt = now
}

// lostVersion reports whether the backend server no longer has a version that it had before, as after a restart between
// two reads.
func lostVersion(before, now []lavid.VersionID) bool {
	return slices.ContainsFunc(before, func(version lavid.VersionID) bool { return !slices.Contains(now, version) })
}

// recordMissedState handles a failed read of the state. It restarts the limiter when the connection was refused, and clears a
// state that is older than maxStateAge.
func (d *Dispatcher) recordMissedState(err error, now time.Time) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		d.restartLimiter(now)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.stateReadAt.IsZero() && now.Sub(d.stateReadAt) > maxStateAge {
		d.backendState = lavbackend.State{}
		d.stateReadAt = time.Time{}
	}
}

// restartLimiter returns the limit to its start value, because the backend server has restarted or is about to.
func (d *Dispatcher) restartLimiter(now time.Time) {
	d.Metrics.Count("ColdStarts", 1)
	d.currentLimiter().Restart(now)
}

// reportedFirstToken returns the engine's last reported time to the first token, or zero when it reports none.
func (d *Dispatcher) reportedFirstToken() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.backendState.FirstTokenMicros) * time.Microsecond
}

// ApplyHostList updates whether the backend server's host is leaving, from the platform's host list.
func (d *Dispatcher) ApplyHostList(hosts []lavplatform.Host) {
	leaving := false
	for _, host := range hosts {
		if host.BackendServer == d.Server && host.Leaving {
			leaving = true
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hostLeaving = leaving
}

// ApplyConfig adjusts the limiter to the configuration in force.
func (d *Dispatcher) ApplyConfig(now time.Time) {
	document := d.Configs.InForce(now)
	if document == nil {
		return
	}
	row := document.BackendServers[d.Server]
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.limiterConfigured || d.plainService != (row.Service != "") {
		d.plainService = row.Service != ""
		d.limiterConfigured = true
		d.limiter = newLimiter(d.plainService, row.MaxRunning, now)
	}
	d.limiter.SetMaxRunning(row.MaxRunning)
}

func newLimiter(plain bool, maxRunning int, now time.Time) *lavlimit.Limiter {
	if plain {
		return lavlimit.New(lavlimit.PlainSettings(maxRunning), now)
	}
	return lavlimit.New(lavlimit.EngineSettings(maxRunning), now)
}

// State is the part of a state dump about the attempts and the memory of their answers.
type State struct {
	// Running is the number of attempts in progress.
	Running int
	// Kept is the number of runs in memory, and Remembered the number of attempts whose phase is recorded.
	Kept       int
	Remembered int
	// AnswerBytes is the memory used by answers.
	AnswerBytes int64
	Leaving     bool
	Limit       lavlimit.Snapshot
	// EngineRunning and EngineWaiting are the numbers of requests in progress and in the queue that the backend server,
	// an engine or a plain service, last reported.
	EngineRunning int
	EngineWaiting int
}

// Dump returns the current state.
func (d *Dispatcher) Dump() State {
	limit := d.currentLimiter().Snapshot()
	leaving := d.Leaving()
	d.mu.Lock()
	defer d.mu.Unlock()
	return State{
		Running:       d.running,
		Kept:          d.runs.Len(),
		Remembered:    d.attempts.Len(),
		AnswerBytes:   d.Budget.Used(),
		Leaving:       leaving,
		Limit:         limit,
		EngineRunning: d.backendState.Running,
		EngineWaiting: d.backendState.Waiting,
	}
}
