package lavexchange

import (
	"context"
	"net"
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

// IsTimeout reports whether an exchange failed because nothing arrived in time, while the peer did not end the connection.
func IsTimeout(err error) bool {
	var network net.Error
	return errors.Is(err, syscall.ETIMEDOUT) || errors.Is(err, context.Canceled) || errors.As(err, &network) && network.Timeout()
}

// IsRefused reports whether nothing listens at the peer's address.
func IsRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// WasSent reports whether the peer may have received the request. Any error other than ErrExchange counts as sent.
func WasSent(err error) bool {
	var typed ErrExchange
	return !errors.As(err, &typed) || typed.Sent
}
