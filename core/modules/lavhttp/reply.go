package lavhttp

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"lavenderswitch/core/modules/laverror"
)

// ErrorBody is the JSON body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the error object of the chat completions API, extended by the run state, the remedy and the retry time.
type ErrorDetail struct {
	Message          string            `json:"message"`
	Type             laverror.Kind     `json:"type"`
	Code             laverror.Kind     `json:"code"`
	RunState         laverror.RunState `json:"run_state"`
	Remedy           string            `json:"remedy"`
	RetryAfterMillis int64             `json:"retry_after_millis,omitempty"`
}

// HeaderRunState is the response header with the run state of a refused request.
const HeaderRunState = "Lavender-Run-State"

// WriteJSON writes value as a JSON response.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// NewErrorBody returns the JSON body that describes err.
func NewErrorBody(err error) ErrorBody {
	typed := laverror.As(err)
	return ErrorBody{Error: ErrorDetail{
		Message:          typed.Error(),
		Type:             typed.Kind,
		Code:             typed.Kind,
		RunState:         typed.Run,
		Remedy:           typed.Remedy,
		RetryAfterMillis: typed.RetryAfter.Milliseconds(),
	}}
}

// WriteError writes err as a JSON response with the HTTP status of its kind and, if set, Retry-After.
func WriteError(w http.ResponseWriter, err error) {
	WriteErrorBody(w, err, NewErrorBody(err))
}

// WriteErrorBody writes a custom error body, with the HTTP status and Retry-After of err.
func WriteErrorBody(w http.ResponseWriter, err error, body any) {
	typed := laverror.As(err)
	if typed.RetryAfter > 0 {
		seconds := int(math.Ceil(typed.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	w.Header().Set(HeaderRunState, string(typed.Run))
	WriteJSON(w, Status(typed), body)
}

// Status returns the HTTP status for the kind of err.
func Status(err *laverror.Error) int {
	status, ok := statuses[err.Kind]
	if !ok {
		return http.StatusInternalServerError
	}
	return status
}

var statuses = map[laverror.Kind]int{
	laverror.KindBadRequest:        http.StatusBadRequest,
	laverror.KindUnauthorized:      http.StatusUnauthorized,
	laverror.KindNotAllowed:        http.StatusForbidden,
	laverror.KindNotFound:          http.StatusNotFound,
	laverror.KindTooLarge:          http.StatusRequestEntityTooLarge,
	laverror.KindTooManyRequests:   http.StatusTooManyRequests,
	laverror.KindOverloaded:        http.StatusServiceUnavailable,
	laverror.KindNoServer:          http.StatusServiceUnavailable,
	laverror.KindTimeout:           http.StatusGatewayTimeout,
	laverror.KindConflict:          http.StatusConflict,
	laverror.KindInDoubt:           http.StatusConflict,
	laverror.KindRunning:           http.StatusConflict,
	laverror.KindRequestMismatch:   http.StatusUnprocessableEntity,
	laverror.KindStoreUnavailable:  http.StatusServiceUnavailable,
	laverror.KindBackendFailed:     http.StatusBadGateway,
	laverror.KindShuttingDown:      http.StatusServiceUnavailable,
	laverror.KindConfigUnavailable: http.StatusServiceUnavailable,
	laverror.KindInvalidConfig:     http.StatusUnprocessableEntity,
}
