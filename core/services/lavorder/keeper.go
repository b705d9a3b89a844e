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
	// maxOrderAge is how old the reading of the epoch may be when the order is sent.
	maxOrderAge = time.Second
	// settleTime is how long an order has to show in the engine's lagging state before it is sent again.
	settleTime = 5 * time.Second
)

// Engine takes orders.
type Engine interface {
	// Order sends one order; ErrOldEpoch says that the engine has seen a higher epoch.
	Order(ctx context.Context, epoch lavid.Epoch, step lavplacement.Step) error
}

// ErrOldEpoch is returned by an engine that has obeyed a higher epoch.
var ErrOldEpoch = errors.New("engine has seen a higher epoch")

// Weights asks the weight store whether a load may start; it returns how long to wait otherwise.
type Weights interface {
	StartLoad(ctx context.Context, version lavid.VersionID) (time.Duration, error)
}

// Keeper keeps one model engine on what it should hold; its owner calls Step from one goroutine.
type Keeper struct {
	Server  lavid.BackendServerID
	Fence   *Fence
	Slots   *Slots
	Engine  Engine
	Weights Weights
	Warm    lavplacement.WarmCounter
	Log     *logrus.Logger

	last    lavplacement.Step
	ordered time.Time
	// waitUntil is when the weight store takes the next load.
	waitUntil time.Time
}

// Seen is what is known of the engine and its fleet at one step.
type Seen struct {
	Document *lavconfig.Document
	Live     []lavid.BackendServerID
	Observed lavplacement.Observed
	// Epoch is the highest that the engine has obeyed.
	Epoch lavid.Epoch
}

// Step sends the next order, if there is one and everything allows it, and returns what it did.
func (k *Keeper) Step(ctx context.Context, seen Seen, now time.Time) (lavplacement.Step, error) {
	none := lavplacement.Step{Kind: lavplacement.StepNone}
	if seen.Document == nil {
		return none, nil
	}
	step := Next(seen.Document, k.Server, seen.Live, seen.Observed, k.Warm)
	if step.Kind == lavplacement.StepNone {
		k.last = none
		return none, k.Slots.Give(ctx, now)
	}
	if step.Kind == lavplacement.StepWait || step == k.last && now.Sub(k.ordered) < settleTime || now.Before(k.waitUntil) {
		return none, nil
	}
	if ready, err := k.reserve(ctx, step, now); !ready || err != nil {
		return none, err
	}
	return k.order(ctx, step, seen.Epoch, now)
}

// reserve takes what a step needs: its slot, and the weight store's leave for a load.
func (k *Keeper) reserve(ctx context.Context, step lavplacement.Step, now time.Time) (bool, error) {
	held, err := k.Slots.Take(ctx, step.Slot, now)
	if !held || err != nil || step.Kind != lavplacement.StepLoad {
		return held, err
	}
	wait, err := k.Weights.StartLoad(ctx, step.Version)
	if err != nil {
		return false, errors.Wrap(err, "ask the weight store for a load")
	}
	if wait > 0 {
		k.waitUntil = now.Add(wait)
	}
	return wait == 0, nil
}

// order reads the epoch again, because engines that ignore fencing obey whoever comes last.
func (k *Keeper) order(ctx context.Context, step lavplacement.Step, obeyed lavid.Epoch, now time.Time) (lavplacement.Step, error) {
	none := lavplacement.Step{Kind: lavplacement.StepNone}
	asked := time.Now()
	epoch, err := k.Fence.Hold(ctx)
	if err != nil {
		return none, err
	}
	if time.Since(asked) > maxOrderAge {
		return none, errors.New("the epoch was read too long ago; ordering again at the next tick")
	}
	err = k.Engine.Order(ctx, epoch, step)
	if errors.Is(err, ErrOldEpoch) {
		return none, k.Fence.Raise(ctx, max(obeyed, epoch))
	}
	if err != nil {
		return none, err
	}
	k.last, k.ordered = step, now
	k.Log.WithField(lavlog.FieldServer, k.Server).WithField(lavlog.FieldVersion, step.Version).WithField("epoch", epoch).
		WithField("order", step.Kind).Info("engine was given an order")
	return step, nil
}
