package lavcmd

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

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
		Commands: []*cli.Command{platformCommand(), engineCommand(), serviceCommand()},
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
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	server, err := lavhttp.Listen(ctx, address, handler, nil, lavhttp.DefaultLimits())
	if err != nil {
		return err
	}
	go func() {
		<-ctx.Done()
		_ = server.Shutdown(context.Background())
	}()
	return server.Serve()
}
