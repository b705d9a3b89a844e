package lavoperation

import (
	"context"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavsettings"
)

// Calls lists and settles calls that run at most once and whose outcome is unknown.
type Calls interface {
	ListInDoubt(ctx context.Context, after string, limit int) (CallPage, error)
	Settle(ctx context.Context, settlement Settlement, now time.Time) (Settled, error)
}

// CallInDoubt is a call that a side process has claimed and whose outcome is unknown.
type CallInDoubt struct {
	Account lavid.AccountID
	Request lavid.RequestID
	Attempt lavid.AttemptID
	// Holder is the side process that may have run the call.
	Holder string
	Server lavid.BackendServerID
	// Claimed is when the holder claimed the call, by the holder's clock.
	Claimed time.Time
}

// CallPage is one page of the list of calls in doubt.
type CallPage struct {
	Calls []CallInDoubt
	// Next is the value of After that requests the next page; empty on the last page.
	Next string
}

// Settlement is an operator's decision on a call in doubt.
type Settlement struct {
	Account lavid.AccountID
	Request lavid.RequestID
	// Attempt is the attempt that the operator has examined.
	Attempt lavid.AttemptID
	// Ran states whether the backend server ran the call; nil means not stated.
	Ran *bool
	// StatusCode, ContentType and Body are returned to repeats of a call that ran and whose answer is known.
	StatusCode  int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
	// Operator is the name that belongs to the operator's key; requests cannot set it.
	Operator string `json:"-"`
}

// Settled is the state of a call after a settlement.
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
	faults.AddUnless(s.Account != "", "Account", s.Account, "name the client account")
	faults.AddUnless(s.Request != "", "Request", s.Request, "give the request id, which is the caller's idempotency key")
	faults.AddUnless(s.Attempt != "", "Attempt", s.Attempt, "give the attempt id that GET /calls/in-doubt shows")
	faults.AddUnless(s.Ran != nil, "Ran", "missing", "give true if the backend server ran the call, false if it did not")
	validStatus := s.StatusCode == 0 || (s.StatusCode >= minStatusCode && s.StatusCode <= maxStatusCode)
	faults.AddUnless(validStatus, "StatusCode", s.StatusCode, "give an HTTP status, or leave it out when the answer is not known")
	if len(faults) == 0 {
		return nil
	}
	return laverror.New(laverror.KindBadRequest, "the settlement is incomplete or invalid: "+faults.Error(), "correct each fault")
}
