package lavattempt

import (
	"context"
	"time"

	"lavenderswitch/side/services/lavdispatch"
	"lavenderswitch/wire/lavwire"
)

type sideService struct {
	dispatcher *lavdispatch.Dispatcher
}

// Seal refuses an attempt for good unless it was already admitted.
func (s *sideService) Seal(_ context.Context, request *lavwire.SealRequest) (*lavwire.SealResponse, error) {
	run, known := s.dispatcher.Seal(request.GetAttemptId(), time.Now())
	if !known {
		return &lavwire.SealResponse{RunState: lavwire.RunState_RUN_STATE_NOT_RUN}, nil
	}
	view := run.Buffer.View(0)
	if view.Refusal != nil {
		return &lavwire.SealResponse{RunState: view.Refusal.GetRunState()}, nil
	}
	return &lavwire.SealResponse{RunState: lavwire.RunState_RUN_STATE_RAN, Running: view.End == nil}, nil
}

// Cancel is not supported yet and reports the attempt as in doubt.
func (s *sideService) Cancel(context.Context, *lavwire.CancelRequest) (*lavwire.CancelResponse, error) {
	return &lavwire.CancelResponse{RunState: lavwire.RunState_RUN_STATE_IN_DOUBT}, nil
}

// Locate is not supported yet and reports the request as in doubt.
func (s *sideService) Locate(context.Context, *lavwire.LocateRequest) (*lavwire.LocateResponse, error) {
	return &lavwire.LocateResponse{RunState: lavwire.RunState_RUN_STATE_IN_DOUBT}, nil
}

// ReadLoad returns the present load.
func (s *sideService) ReadLoad(context.Context, *lavwire.ReadLoadRequest) (*lavwire.Load, error) {
	return s.dispatcher.Load(), nil
}
