package lavledger

import (
	"context"

	"lavenderswitch/core/modules/lavplatform"
)

// detachedRows lets a call continue after its caller stops waiting, so that the platform client observes the result of
// the call.
type detachedRows struct {
	rows Rows
}

type result[T any] struct {
	value T
	err   error
}

// detach runs call without the cancellation of ctx, and waits for it until ctx ends.
func detach[T any](ctx context.Context, call func(ctx context.Context) (T, error)) (T, error) {
	ended := make(chan result[T], 1)
	go func() {
		value, err := call(context.WithoutCancel(ctx))
		ended <- result[T]{value, err}
	}()
	select {
	case got := <-ended:
		return got.value, got.err
	case <-ctx.Done():
		var none T
		return none, lavplatform.ErrStoreUnavailable{Reason: "no reply in time"}
	}
}

// Insert writes a row if its key is absent.
func (d detachedRows) Insert(ctx context.Context, insert lavplatform.Insert) (lavplatform.WriteResult, error) {
	return detach(ctx, func(ctx context.Context) (lavplatform.WriteResult, error) { return d.rows.Insert(ctx, insert) })
}

// Swap replaces a row that still has the given revision.
func (d detachedRows) Swap(ctx context.Context, swap lavplatform.Swap) (lavplatform.WriteResult, error) {
	return detach(ctx, func(ctx context.Context) (lavplatform.WriteResult, error) { return d.rows.Swap(ctx, swap) })
}

// Get returns one row.
func (d detachedRows) Get(ctx context.Context, table, key string) (lavplatform.Row, error) {
	return detach(ctx, func(ctx context.Context) (lavplatform.Row, error) { return d.rows.Get(ctx, table, key) })
}

// Scan returns rows in key order.
func (d detachedRows) Scan(ctx context.Context, table, after string, limit int) ([]lavplatform.Row, error) {
	return detach(ctx, func(ctx context.Context) ([]lavplatform.Row, error) { return d.rows.Scan(ctx, table, after, limit) })
}
