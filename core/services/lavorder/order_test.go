package lavorder

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavplacement"
)

type table map[string]lavplatform.Row

func (m table) Insert(_ context.Context, insert lavplatform.Insert) (lavplatform.WriteResult, error) {
	return m.Swap(context.Background(), lavplatform.Swap{Insert: insert})
}

func (m table) Swap(_ context.Context, swap lavplatform.Swap) (lavplatform.WriteResult, error) {
	key := swap.Table + "/" + swap.Key
	if m[key].Revision == swap.Revision {
		m[key] = lavplatform.Row{Key: swap.Key, Revision: swap.Revision + 1, Writer: swap.Writer, Value: swap.Value}
	}
	return lavplatform.WriteResult{Won: m[key].Writer == swap.Writer, Row: m[key]}, nil
}

func (m table) Get(_ context.Context, name, key string) (lavplatform.Row, error) {
	row, ok := m[name+"/"+key]
	if !ok {
		return row, lavplatform.ErrRowNotExist{Table: name, Key: key}
	}
	return row, nil
}

// engine obeys each order at once; a fenced engine refuses epochs below the highest that it has obeyed.
type engine struct {
	fenced bool
	epoch  lavid.Epoch
	loaded []lavid.VersionID
	orders int
}

func (e *engine) Order(_ context.Context, epoch lavid.Epoch, step lavplacement.Step) error {
	if e.fenced && epoch < e.epoch {
		return ErrStaleEpoch
	}
	e.epoch = max(e.epoch, epoch)
	e.orders++
	if step.Kind == lavplacement.StepLoad {
		e.loaded = append(e.loaded, step.Version)
		return nil
	}
	var kept []lavid.VersionID
	for _, version := range e.loaded {
		if version != step.Version {
			kept = append(kept, version)
		}
	}
	e.loaded = kept
	return nil
}

type weights struct{ wait time.Duration }

func (w *weights) StartLoad(context.Context, lavid.VersionID) (time.Duration, error) {
	return w.wait, nil
}

type noOthers struct{}

func (noOthers) Others(lavid.VersionID) int { return 0 }

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fleet() *lavconfig.Document {
	row := lavconfig.BackendServer{DataCentre: "dc", State: lavconfig.InService, Versions: []lavid.VersionID{"v"}, MemoryVersions: 2}
	return &lavconfig.Document{
		Number:         1,
		DataCentres:    map[lavid.DataCentreID]lavconfig.DataCentre{"dc": {State: lavconfig.InService}},
		Versions:       map[lavid.VersionID]lavconfig.Version{"v": {State: lavconfig.VersionServing}, "old": {State: lavconfig.VersionWithdrawn}},
		BackendServers: map[lavid.BackendServerID]lavconfig.BackendServer{"e1": row, "e2": row},
	}
}

func newReconciler(rows Rows, server lavid.BackendServerID, process string, engine *engine, weights *weights) *Reconciler {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Reconciler{
		Server: server, Fence: NewFence(rows, server, process), Slots: NewSlots(rows, process),
		Engine: engine, Weights: weights, Warm: noOthers{}, Log: log,
	}
}

func (e *engine) snapshot() Snapshot {
	reported := e.epoch
	if !e.fenced {
		reported = 0
	}
	return Snapshot{
		Document: fleet(),
		Live:     []lavid.BackendServerID{"e1", "e2"},
		Observed: lavplacement.Observed{Loaded: e.loaded},
		Epoch:    reported,
	}
}

// TestWithdrawnVersionIsUnloadedOnceIdle guards against an unload under running requests, and against a withdrawn
// version that stays loaded.
func TestWithdrawnVersionIsUnloadedOnceIdle(t *testing.T) {
	is := is.New(t)
	engine := &engine{loaded: []lavid.VersionID{"v", "old"}}
	reconciler := newReconciler(table{}, "e1", "p", engine, &weights{})
	snapshot := engine.snapshot()
	snapshot.Observed.Running = []lavid.VersionID{"old"}
	step, err := reconciler.Step(t.Context(), snapshot, now)
	is.NoErr(err)
	is.Equal(step.Kind, lavplacement.StepNone)
	_, err = reconciler.Step(t.Context(), engine.snapshot(), now)
	is.NoErr(err)
	is.Equal(engine.loaded, []lavid.VersionID{"v"})
}

// TestSupersededProcessStopsOrdering guards against orders of a side process that was paused and resumes after its
// successor has taken the next epoch.
func TestSupersededProcessStopsOrdering(t *testing.T) {
	for name, fenced := range map[string]bool{"fenced engine": true, "engine that ignores fencing": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rows, engine := table{}, &engine{fenced: fenced}
			paused := newReconciler(rows, "e1", "paused", engine, &weights{})
			_, err := paused.Step(t.Context(), engine.snapshot(), now)
			is.NoErr(err)
			is.Equal(engine.loaded, []lavid.VersionID{"v"})
			is.NoErr(paused.Slots.Release(t.Context(), now))
			engine.loaded = nil
			successor := newReconciler(rows, "e1", "successor", engine, &weights{})
			_, err = successor.Step(t.Context(), engine.snapshot(), now)
			is.NoErr(err)
			is.Equal(engine.epoch, lavid.Epoch(2))
			orders := engine.orders
			engine.loaded = nil
			later := now.Add(time.Hour)
			for range 3 {
				_, err = paused.Step(t.Context(), engine.snapshot(), later)
				is.True(errors.Is(err, ErrSuperseded))
			}
			is.Equal(engine.orders, orders)
		})
	}
}

// TestEpochRaisedAboveEngineEpochAfterRowLoss guards against a fenced engine that refuses every order, because the
// epoch row was lost and the new row starts below the epoch that the engine has obeyed.
func TestEpochRaisedAboveEngineEpochAfterRowLoss(t *testing.T) {
	is := is.New(t)
	engine := &engine{fenced: true, epoch: 9}
	reconciler := newReconciler(table{}, "e1", "p", engine, &weights{})
	for range 2 {
		_, err := reconciler.Step(t.Context(), engine.snapshot(), now)
		is.NoErr(err)
	}
	is.Equal(engine.epoch, lavid.Epoch(10))
	is.Equal(engine.loaded, []lavid.VersionID{"v"})
}

// TestLoadsAreStaggered guards against loads that start together: a load needs the permission of the weight store and a
// slot that other processes cannot hold at the same time.
func TestLoadsAreStaggered(t *testing.T) {
	is := is.New(t)
	rows, limit := table{}, &weights{wait: 3 * time.Second}
	first := &engine{}
	reconciler := newReconciler(rows, "e1", "p1", first, limit)
	step := func(k *Reconciler, e *engine, at time.Time) {
		_, err := k.Step(t.Context(), e.snapshot(), at)
		is.NoErr(err)
	}
	step(reconciler, first, now)
	limit.wait = 0
	step(reconciler, first, now.Add(time.Second))
	is.Equal(first.orders, 0) // the weight store requires a wait of three seconds
	step(reconciler, first, now.Add(3*time.Second))
	is.Equal(first.orders, 1)
	slots := NewSlots(rows, "p2")
	taken, err := slots.Acquire(t.Context(), lavplacement.LoadSlot("dc", "e1"), now.Add(4*time.Second))
	is.NoErr(err)
	is.True(!taken) // the load is still running
	step(reconciler, first, now.Add(5*time.Second))
	taken, err = slots.Acquire(t.Context(), lavplacement.LoadSlot("dc", "e1"), now.Add(6*time.Second))
	is.NoErr(err)
	is.True(taken) // the load has ended and its slot is released
	third := NewSlots(rows, "p3")
	taken, err = third.Acquire(t.Context(), lavplacement.LoadSlot("dc", "e1"), now.Add(7*time.Second+slotTTL))
	is.NoErr(err)
	is.True(taken) // the slot expired without a release
}

// TestSameOrderIsNotRepeatedWhileTheStateLags guards against an order in each step while the
// reported state of the engine lags.
func TestSameOrderIsNotRepeatedWhileTheStateLags(t *testing.T) {
	is := is.New(t)
	engine := &engine{}
	reconciler := newReconciler(table{}, "e1", "p", engine, &weights{})
	lagging := engine.snapshot()
	for second := range 8 {
		_, err := reconciler.Step(t.Context(), lagging, now.Add(time.Duration(second)*time.Second))
		is.NoErr(err)
	}
	is.Equal(engine.orders, 2)
}
