package laverror

import (
	"time"

	"github.com/pkg/errors"
)

// Kind identifies the cause of an error. Its values are stable, so that programs can compare them.
type Kind string

// The kinds of errors that clients and operators can receive.
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

// RunState states whether the work of a request was started.
type RunState string

// The run states. NotRun is used only if the work did not start and can no longer start.
const (
	NotRun  RunState = "not_run"
	InDoubt RunState = "in_doubt"
	Ran     RunState = "ran"
)

// Error is an error with a kind, a run state and a remedy.
type Error struct {
	Kind    Kind
	Run     RunState
	Message string
	Remedy  string
	// RetryAfter is the time after which a retry can succeed; zero if there is none.
	RetryAfter time.Duration
}

// Error returns the message followed by the remedy.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return e.Message + "; " + e.Remedy
}

// New returns an error of a request that has not run.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Run: NotRun, Message: message, Remedy: remedy}
}

// WithRun returns a copy of the error with another run state.
func (e *Error) WithRun(run RunState) *Error {
	copied := *e
	copied.Run = run
	return &copied
}

// WithRetryAfter returns a copy of the error with the time after which a retry can succeed.
func (e *Error) WithRetryAfter(after time.Duration) *Error {
	copied := *e
	copied.RetryAfter = after
	return &copied
}

// As returns the *Error in the chain of err, or a new one of kind internal with the text of err.
func As(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return New(KindInternal, err.Error(), "report this error with the request id")
}

// Is reports whether the chain of err holds an *Error of the kind.
func Is(err error, kind Kind) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Kind == kind
}
