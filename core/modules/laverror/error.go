package laverror

import (
	"time"

	"github.com/pkg/errors"
)

// Kind is the reason for an error, stable for programs to compare.
type Kind string

// The kinds that callers and operators can meet.
const (
	KindBadRequest        Kind = "bad_request"
	KindUnauthorized      Kind = "unauthorized"
	KindNotAllowed        Kind = "not_allowed"
	KindNotFound          Kind = "not_found"
	KindTooLarge          Kind = "too_large"
	KindTooManyRequests   Kind = "too_many_requests"
	KindOverloaded        Kind = "overloaded"
	KindNoServer          Kind = "no_server"
	KindTimeout           Kind = "timeout"
	KindConflict          Kind = "conflict"
	KindInDoubt           Kind = "in_doubt"
	KindRunning           Kind = "running"
	KindRequestMismatch   Kind = "request_mismatch"
	KindStoreUnavailable  Kind = "store_unavailable"
	KindBackendFailed     Kind = "backend_failed"
	KindShuttingDown      Kind = "shutting_down"
	KindConfigUnavailable Kind = "config_unavailable"
	KindInvalidConfig     Kind = "invalid_config"
	KindInternal          Kind = "internal"
)

// RunState says whether the work of a request was started.
type RunState string

// The run states; NotRun is only said when the work did not start and cannot start any more.
const (
	NotRun  RunState = "not_run"
	InDoubt RunState = "in_doubt"
	Ran     RunState = "ran"
)

// Error is a typed error with its remedy.
type Error struct {
	Kind       Kind
	Run        RunState
	Message    string
	Remedy     string
	RetryAfter time.Duration
}

// Error returns the message followed by the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + "; " + e.Remedy
}

// New returns an error of a request whose work did not run.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Run: NotRun, Message: message, Remedy: remedy}
}

// WithRun returns a copy that states another run state.
func (e *Error) WithRun(run RunState) *Error {
	copied := *e
	copied.Run = run
	return &copied
}

// WithRetryAfter returns a copy that states when a retry can succeed.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	copied := *e
	copied.RetryAfter = after
	return &copied
}

// As returns the typed error within err, or one of kind internal that wraps its text.
func As(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return New(KindInternal, err.Error(), "report this error with the request id")
}

// Is tells whether err is a typed error of the kind.
func Is(err error, kind Kind) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Kind == kind
}
