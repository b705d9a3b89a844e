package lavorder

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/services/lavplacement"
)

const (
	// maxEpochAge bounds the time between the read of the epoch and the order that uses it.
	maxEpochAge = time.Second
	// orderRepeatInterval is the time before an order is repeated; the engine's reported state lags behind its orders.
	orderRepeatInterval = 5 * time.Second
)

// Engine is a model engine that accepts orders.
type Engine interface {
	// Order sends one order; it returns ErrStaleEpoch when the engine has obeyed a higher epoch.
	Order(ctx context.Context, epoch lavid.Epoch, step lavplacement.Step) error
}

// ErrStaleEpoch is returned for an order under an epoch below the highest that the engine has obeyed.
var ErrStaleEpoch = errors.New("engine has obeyed a higher epoch")

// WeightStore limits the rate of loads. StartLoad returns zero when the load may start, and otherwise the time to wait
// before the next call.
type WeightStore interface {
	StartLoad(ctx context.Context, version lavid.VersionID) (time.Duration, error)
}

// Reconciler keeps the versions of one model engine equal to its assignment; Step must be called from one goroutine.
type Reconciler struct {
	Server  lavid.BackendServerID
	Fence   *Fence
	Slots   *Slots
	Engine  Engine
	Weights WeightStore
	Warm    lavplacement.WarmCounter
	Log     *logrus.Logger

	lastStep    lavplacement.Step
	lastOrdered time.Time
	// nextLoad is the earliest time at which the weight store accepts a load.
	nextLoad time.Time
}

// Snapshot is the input of one step: the configuration, the live backend servers and the state of the engine.
type Snapshot struct {
	Document *lavconfig.Document
	Live     []lavid.BackendServerID
	Observed lavplacement.Observed
	// Epoch is the highest epoch that the engine has obeyed.
	Epoch lavid.Epoch
}

// Step sends the next order, if there is one and its slot, the weight store and the fence permit it, and returns the
// step that it sent.
func (r *Reconciler) Step(ctx context.Context, snapshot Snapshot, now time.Time) (lavplacement.Step, error) {
	none := lavplacement.Step{Kind: lavplacement.StepNone}
	if snapshot.Document == nil {
		return none, nil
	}
	step := Next(snapshot.Document, r.Server, snapshot.Live, snapshot.Observed, r.Warm)
	if step.Kind == lavplacement.StepNone {
		r.lastStep = none
		return none, r.Slots.Release(ctx, now)
	}
	if step.Kind == lavplacement.StepWait || step == r.lastStep && now.Sub(r.lastOrdered) < orderRepeatInterval || now.Before(r.nextLoad) {
		return none, nil
	}
	if ready, err := r.reserve(ctx, step, now); !ready || err != nil {
		return none, err
	}
	return r.order(ctx, step, snapshot.Epoch, now)
}

// reserve acquires the slot of a step and, for a load, the permission of the weight store; it reports whether it has
// both.
func (r *Reconciler) reserve(ctx context.Context, step lavplacement.Step, now time.Time) (bool, error) {
	held, err := r.Slots.Acquire(ctx, step.Slot, now)
	if !held || err != nil || step.Kind != lavplacement.StepLoad {
		return held, err
	}
	wait, err := r.Weights.StartLoad(ctx, step.Version)
	if err != nil {
		return false, errors.Wrap(err, "ask the weight store for a load")
	}
	if wait > 0 {
		r.nextLoad = now.Add(wait)
	}
	return wait == 0, nil
}

// order sends a step under an epoch that it reads just before, because an engine that ignores epochs obeys any order.
func (r *Reconciler) order(ctx context.Context, step lavplacement.Step, obeyed lavid.Epoch, now time.Time) (lavplacement.Step, error) {
	none := lavplacement.Step{Kind: lavplacement.StepNone}
	readStarted := time.Now()
	epoch, err := r.Fence.Acquire(ctx)
	if err != nil {
		return none, err
	}
	if time.Since(readStarted) > maxEpochAge {
		return none, errors.New("the read of the epoch took too long; sending the order at the next tick")
	}
	err = r.Engine.Order(ctx, epoch, step)
	if errors.Is(err, ErrStaleEpoch) {
		return none, r.Fence.RaiseAbove(ctx, max(obeyed, epoch))
	}
	if err != nil {
		return none, err
	}
	r.lastStep, r.lastOrdered = step, now
	r.Log.WithField(lavlog.FieldServer, r.Server).WithField(lavlog.FieldVersion, step.Version).WithField("epoch", epoch).
		WithField("order", step.Kind).Info("order sent to the engine")
	return step, nil
}
