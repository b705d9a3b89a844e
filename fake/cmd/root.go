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

// Main runs the command line and returns its exit code: 0 ended cleanly, 1 failed.
func Main(ctx context.Context, args []string, version string) int {
	root := &cli.Command{
		Name:     "lavenderfake",
		Usage:    "stands in for the platform and the backend servers in tests and the demo",
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

// serve answers with handler until the process is told to end.
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

const shutdownTimeout = 2 * time.Second

// checkLoopback refuses any address but one of this machine's loopback, for stand-ins belong in tests.
func checkLoopback(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().IsLoopback() {
		return errors.Errorf("address %q is not IP:port of the loopback; use 127.0.0.1", address)
	}
	return nil
}
