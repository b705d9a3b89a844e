package lavexchange

import "github.com/pkg/errors"

// ErrExchange says that a request got no whole answer.
type ErrExchange struct {
	// Sent says that the peer may have received the request.
	Sent bool
	// Reason is what failed.
	Reason string
	cause  error
}

// Error names the reason and the remedy.
func (e ErrExchange) Error() string {
	if e.Sent {
		return "no answer after the request was sent: " + e.Reason + "; repeat it only if it may run twice"
	}
	return "request was not sent: " + e.Reason + "; send it to another server"
}

// Unwrap returns the cause.
func (e ErrExchange) Unwrap() error { return e.cause }

// IsErrExchange tells whether err is an ErrExchange.
func IsErrExchange(err error) bool {
	var typed ErrExchange
	return errors.As(err, &typed)
}

// WasSent tells whether the peer may have received the request; an error of another kind counts as sent.
func WasSent(err error) bool {
	var typed ErrExchange
	return !errors.As(err, &typed) || typed.Sent
}
