package lavcmd

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/modules/lavhttp"
)

const flagAddress = "address"

// Main runs the command line and returns the exit code of the process: 0 after a clean end, 1 after an error.
func Main(ctx context.Context, args []string, version string) int {
	root := &cli.Command{
		Name:     "lavenderfake",
		Usage:    "run stand-ins for the platform and for backend servers in tests and demos",
		Version:  version,
		Commands: []*cli.Command{platformCommand(), engineCommand(), serviceCommand(), relayCommand(), loadCommand()},
	}
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func addressFlag() cli.Flag {
	return &cli.StringFlag{Name: flagAddress, Usage: "IP:port to listen on", Required: true}
}

// serve serves handler at address until SIGTERM or SIGINT arrives.
func serve(ctx context.Context, address string, handler http.Handler) error {
	if err := checkLoopback(address); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server, err := lavhttp.Listen(ctx, address, handler, nil, lavhttp.DefaultLimits())
	if err != nil {
		return err
	}
	var workers conc.WaitGroup
	workers.Go(func() {
		<-ctx.Done()
		shutdownContext, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(shutdownContext)
	})
	err = server.Serve()
	stop()
	workers.Wait()
	return err
}

// shutdownTimeout bounds the wait for calls in progress at a shutdown.
const shutdownTimeout = 2 * time.Second

// checkLoopback returns an error for an address outside the loopback interface, because the stand-ins are for tests
// only.
func checkLoopback(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsLoopback() {
		return errors.Errorf("address %q is not IP:port on the loopback interface; use 127.0.0.1", address)
	}
	return nil
}
