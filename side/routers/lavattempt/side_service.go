package lavattempt

import (
	"context"
	"time"

	"lavenderswitch/side/services/lavdispatch"
	"lavenderswitch/wire/lavwire"
)

// sideService implements the Side service with a dispatcher.
type sideService struct {
	dispatcher *lavdispatch.Dispatcher
}

// Seal refuses an attempt permanently, unless it was already dispatched.
func (s *sideService) Seal(ctx context.Context, request *lavwire.SealRequest) (*lavwire.SealResponse, error) {
	return s.dispatcher.Seal(ctx, request, time.Now()), nil
}

// Cancel stops an idempotent attempt whose answer is no longer needed.
func (s *sideService) Cancel(_ context.Context, request *lavwire.CancelRequest) (*lavwire.CancelResponse, error) {
	return s.dispatcher.Cancel(request, time.Now()), nil
}

// Locate returns the state of an attempt in this process.
func (s *sideService) Locate(_ context.Context, request *lavwire.LocateRequest) (*lavwire.LocateResponse, error) {
	return s.dispatcher.Locate(request), nil
}

// ReadLoad returns the current load of this process.
func (s *sideService) ReadLoad(context.Context, *lavwire.ReadLoadRequest) (*lavwire.Load, error) {
	return s.dispatcher.Load(), nil
}
