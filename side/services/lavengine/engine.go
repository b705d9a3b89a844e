package lavengine

import (
	"context"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavorder"
	"lavenderswitch/core/services/lavplacement"
	"lavenderswitch/side/services/lavbackend"
)

// Engine sends orders to the model engine.
type Engine struct {
	Backend *lavbackend.Client
}

// Order sends one placement step as an order. It returns lavorder.ErrStaleEpoch when the engine has accepted a higher epoch.
func (e *Engine) Order(ctx context.Context, epoch lavid.Epoch, step lavplacement.Step) error {
	order := lavbackend.Order{Epoch: epoch, Order: string(step.Kind), Version: step.Version, Role: string(step.Role)}
	err := e.Backend.Order(ctx, order)
	if errors.Is(err, lavbackend.ErrStaleEpoch) {
		return lavorder.ErrStaleEpoch
	}
	return err
}

// Observed returns the part of an engine's state on which orders depend, together with the versions of running attempts.
func Observed(state lavbackend.State, running []lavid.VersionID) lavplacement.Observed {
	return lavplacement.Observed{
		Loaded:  state.LoadedVersions,
		Loading: state.LoadingVersions,
		Role:    lavplacement.Role(state.Role),
		Running: running,
	}
}
