package lavexchange

import (
	"io"
	"syscall"

	"github.com/pkg/errors"
)

// ErrExchange reports that a request received no complete response.
type ErrExchange struct {
	// Sent reports whether the peer may have received the request.
	Sent bool
	// Reason states what failed.
	Reason string
	cause  error
}

// Error returns the reason and the remedy.
func (e ErrExchange) Error() string {
	if e.Sent {
		return "no answer after the request was sent: " + e.Reason + "; repeat it only if it may run twice"
	}
	return "request was not sent: " + e.Reason + "; send it to another server"
}

// Unwrap returns the cause.
func (e ErrExchange) Unwrap() error { return e.cause }

// IsErrExchange reports whether err is an ErrExchange.
func IsErrExchange(err error) bool {
	var typed ErrExchange
	return errors.As(err, &typed)
}

// IsPeerEnd reports whether an exchange, or the reading of its answer, failed because the peer ended the connection.
func IsPeerEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// IsRefused reports whether nothing listens at the peer's address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// WasSent reports whether the peer may have received the request. Any error other than ErrExchange counts as sent.
func WasSent(err error) bool {
	var typed ErrExchange
	return !errors.As(err, &typed) || typed.Sent
}
