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
	// maxEpochAge is how old the reading of the epoch may be when the order is sent.
	maxEpochAge = time.Second
	// orderRepeatInterval is how long an order has to show in the engine's lagging state before it is sent again.
	orderRepeatInterval = 5 * time.Second
)

// Engine takes orders.
type Engine interface {
	// Order sends one order; ErrOldEpoch says that the engine has seen a higher epoch.
	Order(ctx context.Context, epoch lavid.Epoch, step lavplacement.Step) error
}

// ErrStaleEpoch is returned by an engine that has obeyed a higher epoch.
var ErrStaleEpoch = errors.New("engine has seen a higher epoch")

// WeightStore asks the weight store whether a load may start; it returns how long to wait otherwise.
type WeightStore interface {
	StartLoad(ctx context.Context, version lavid.VersionID) (time.Duration, error)
}

// Reconciler keeps one model engine on what it should hold; its owner calls Step from one goroutine.
type Reconciler struct {
	Server  lavid.BackendServerID
	Fence   *Fence
	Slots   *Slots
	Engine  Engine
	Weights WeightStore
	Warm    lavplacement.Warm
	Log     *logrus.Logger

	lastStep    lavplacement.Step
	lastOrdered time.Time
	// nextLoad is when the weight store takes the next load.
	nextLoad time.Time
}

// Snapshot is what is known of the engine and its fleet at one step.
type Snapshot struct {
	Document *lavconfig.Document
	Live     []lavid.BackendServerID
	Observed lavplacement.Observed
	// Epoch is the highest that the engine has obeyed.
	Epoch lavid.Epoch
}

// Step sends the next order, if there is one and everything allows it, and returns what it did.
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

// reserve takes what a step needs: its slot, and the weight store's leave for a load.
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

// order reads the epoch again, because engines that ignore fencing obey whoever comes last.
func (r *Reconciler) order(ctx context.Context, step lavplacement.Step, obeyed lavid.Epoch, now time.Time) (lavplacement.Step, error) {
	none := lavplacement.Step{Kind: lavplacement.StepNone}
	asked := time.Now()
	epoch, err := r.Fence.Acquire(ctx)
	if err != nil {
		return none, err
	}
	if time.Since(asked) > maxEpochAge {
		return none, errors.New("the epoch was read too long ago; ordering again at the next tick")
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
		WithField("order", step.Kind).Info("engine was given an order")
	return step, nil
}
