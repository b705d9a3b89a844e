package lavattempt

import (
	"context"
	"sync/atomic"

	"lavenderswitch/wire/lavwire"
)

// fakeSide is a Side service that has no attempts and counts seals.
type fakeSide struct{ count *atomic.Int64 }

func (s fakeSide) Seal(context.Context, *lavwire.SealRequest) (*lavwire.SealResponse, error) {
	s.count.Add(1)
	return &lavwire.SealResponse{RunState: lavwire.RunState_RUN_STATE_NOT_RUN}, nil
}

func (s fakeSide) Cancel(context.Context, *lavwire.CancelRequest) (*lavwire.CancelResponse, error) {
	return &lavwire.CancelResponse{}, nil
}

func (s fakeSide) Locate(context.Context, *lavwire.LocateRequest) (*lavwire.LocateResponse, error) {
	return &lavwire.LocateResponse{}, nil
}

func (s fakeSide) ReadLoad(context.Context, *lavwire.ReadLoadRequest) (*lavwire.Load, error) {
	return &lavwire.Load{}, nil
}
