package lavhttp

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/modules/lavlife"
)

// Limits bounds the size of request headers, the time to read them, and how long a connection may be idle.
type Limits struct {
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxHeaderBytes int
}

// DefaultLimits returns the limits of the listeners in every process.
func DefaultLimits() Limits {
	return Limits{HeaderTimeout: 5 * time.Second, IdleTimeout: 90 * time.Second, MaxHeaderBytes: 64 << 10}
}

// Server is one HTTP listener.
type Server struct {
	lavlife.DoneSignal
	server   *http.Server
	listener net.Listener
}

// Listen opens a listener on the address. The listener uses TLS if config is not nil.
func Listen(ctx context.Context, address string, handler http.Handler, config *tls.Config, limits Limits) (*Server, error) {
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s; choose a free address in the settings", address)
	}
	if config != nil {
		listener = tls.NewListener(listener, config)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
	}
	return &Server{server: server, listener: listener}, nil
}

// Address returns the address that the listener is bound to.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Serve handles requests until Shutdown is called, and then returns nil.
func (s *Server) Serve() error {
	defer s.Finish()
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

// Shutdown stops accepting connections and waits for the requests in progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return errors.Wrap(s.server.Shutdown(ctx), "shut down HTTP server; requests may still be in progress")
}
