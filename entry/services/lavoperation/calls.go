package lavoperation

import (
	"context"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavsettings"
)

// Calls lists and settles calls that may not be repeated and whose outcome is not known.
type Calls interface {
	ListInDoubt(ctx context.Context, after string, limit int) (CallPage, error)
	Settle(ctx context.Context, settlement Settlement, now time.Time) (Settled, error)
}

// CallInDoubt is a call with an intent and no outcome.
type CallInDoubt struct {
	Account lavid.AccountID
	Request lavid.RequestID
	Attempt lavid.AttemptID
	// Holder is the side process that may have run the call.
	Holder string
	Server lavid.BackendServerID
	// Claimed is when the holder claimed the call, by its own clock.
	Claimed time.Time
}

// CallPage is a part of the calls in doubt.
type CallPage struct {
	Calls []CallInDoubt
	// Next begins the next page; empty at the end.
	Next string
}

// Settlement is an operator's word on a call in doubt.
type Settlement struct {
	Account lavid.AccountID
	Request lavid.RequestID
	// Attempt is the one that the operator looked into.
	Attempt lavid.AttemptID
	// Ran says whether the backend server ran the call.
	Ran *bool
	// StatusCode, ContentType and Body are stored for repeats when the call ran and its answer is known.
	StatusCode  int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// Operator is set by the interface from the operator's key.
	Operator string `json:"-"`
}

// Settled is what became of a call.
type Settled struct {
	State     string
	Attempt   lavid.AttemptID
	SettledBy string
}

const (
	minStatusCode = 100
	maxStatusCode = 599
)

func (s Settlement) check() error {
	var faults lavsettings.Faults
	faults.Add(s.Account != "", "Account", s.Account, "name the client account")
	faults.Add(s.Request != "", "Request", s.Request, "give the request id, which is the caller's idempotency key")
	faults.Add(s.Attempt != "", "Attempt", s.Attempt, "give the attempt id that GET /calls/in-doubt shows")
	faults.Add(s.Ran != nil, "Ran", "missing", "say true when the backend server ran the call, false when it did not")
	validStatus := s.StatusCode == 0 || (s.StatusCode >= minStatusCode && s.StatusCode <= maxStatusCode)
	faults.Add(validStatus, "StatusCode", s.StatusCode, "give an HTTP status, or leave it out when the answer is not known")
	if len(faults) == 0 {
		return nil
	}
	return laverror.New(laverror.KindBadRequest, "the settlement is not complete: "+faults.Error(), "correct each fault")
}
