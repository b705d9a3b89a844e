package lavattempt

import (
	"context"
	"sync/atomic"

	"lavenderswitch/wire/lavwire"
)

// sealer is a Side service that knows no attempt and counts seals.
type sealer struct{ count *atomic.Int64 }

func (s sealer) Seal(context.Context, *lavwire.SealRequest) (*lavwire.SealResponse, error) {
	s.count.Add(1)
	return &lavwire.SealResponse{RunState: lavwire.RunState_RUN_STATE_NOT_RUN}, nil
}

func (s sealer) Cancel(context.Context, *lavwire.CancelRequest) (*lavwire.CancelResponse, error) {
	return &lavwire.CancelResponse{}, nil
}

func (s sealer) Locate(context.Context, *lavwire.LocateRequest) (*lavwire.LocateResponse, error) {
	return &lavwire.LocateResponse{}, nil
}

func (s sealer) ReadLoad(context.Context, *lavwire.ReadLoadRequest) (*lavwire.Load, error) {
	return &lavwire.Load{}, nil
}
