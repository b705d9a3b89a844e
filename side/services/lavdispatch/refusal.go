package lavdispatch

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"
	"unicode"

	"lavenderswitch/wire/lavwire"
)

// The times after which a retry can succeed, by the cause of the refusal.
const (
	retryAfterStore   = time.Second
	retryAfterDoubt   = 2 * time.Second
	retryAfterRunning = 500 * time.Millisecond
)

// notRun returns a refusal with the run state "not run".
func notRun(kind lavwire.RefusalKind, remedy string) *lavwire.Refusal {
	return &lavwire.Refusal{Kind: kind, RunState: lavwire.RunState_RUN_STATE_NOT_RUN, Remedy: remedy}
}

func storeUnavailable() *lavwire.Refusal {
	refusal := notRun(lavwire.RefusalKind_REFUSAL_KIND_STORE_UNAVAILABLE, "repeat the request with the same idempotency key")
	refusal.RetryAfterMillis = retryAfterStore.Milliseconds()
	return refusal
}

func deadlinePassed() *lavwire.Refusal {
	return notRun(lavwire.RefusalKind_REFUSAL_KIND_TIMEOUT, "repeat the request with a longer timeout")
}

// backendFailed returns the refusal of an attempt that was sent to its backend server and got no complete answer.
func backendFailed(attempt *lavwire.Attempt) *lavwire.Refusal {
	remedy := "try another backend server"
	if !attempt.GetIdempotent() {
		remedy = "repeat the request with the same idempotency key, or ask an operator to settle it"
	}
	return &lavwire.Refusal{
		Kind:     lavwire.RefusalKind_REFUSAL_KIND_BACKEND_FAILED,
		RunState: lavwire.RunState_RUN_STATE_IN_DOUBT,
		Remedy:   remedy,
	}
}

// The bounds of an attempt's fields.
const (
	maxIDBytes       = 512
	maxTimeoutMillis = int64(time.Hour / time.Millisecond)
)

// wellFormed reports whether the fields of an attempt are valid; if not, it also returns the remedy.
func wellFormed(attempt *lavwire.Attempt) (string, bool) {
	for _, id := range []string{attempt.GetAttemptId(), attempt.GetRequestId(), attempt.GetAccountId()} {
		if id == "" || len(id) > maxIDBytes || !printable(id) {
			return "give attempt, request and account ids of 1 to 512 bytes without control characters", false
		}
	}
	if (attempt.GetVersionId() == "") == (attempt.GetServiceId() == "") {
		return "name either a version or a service", false
	}
	if attempt.GetTimeoutMillis() <= 0 || attempt.GetTimeoutMillis() > maxTimeoutMillis {
		return "give a timeout above zero and of at most an hour", false
	}
	if attempt.GetVersionId() != "" && attempt.GetMethod() != http.MethodPost {
		return "send chat completions with POST", false
	}
	return wellFormedCall(attempt)
}

// wellFormedCall checks the method, path and content type of an attempt like wellFormed.
func wellFormedCall(attempt *lavwire.Attempt) (string, bool) {
	if !slices.Contains(methods, attempt.GetMethod()) {
		return "give one of the methods " + strings.Join(methods, ", "), false
	}
	if _, err := url.ParseRequestURI(attempt.GetPath()); err != nil || !strings.HasPrefix(attempt.GetPath(), "/") {
		return "give a path that begins with a slash and is escaped", false
	}
	if !printable(attempt.GetContentType()) {
		return "give a content type without control characters", false
	}
	return "", true
}

var methods = []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}

// printable reports whether the text contains no control characters.
func printable(text string) bool {
	return !strings.ContainsFunc(text, unicode.IsControl)
}
