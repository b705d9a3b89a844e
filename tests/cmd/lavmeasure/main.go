package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/tests/measures/lavload"
	"lavenderswitch/tests/measures/lavreport"
	"lavenderswitch/tests/measures/quality/lavcost"
	"lavenderswitch/tests/measures/quality/lavexposure"
)

const defaultSeed = 20261203

// measures returns the measurements in the order in which they run.
func measures() []lavreport.Measure {
	all := []lavreport.Measure{
		lavcost.Measure,
		lavexposure.Measure,
	}
	return append(all, lavload.Measures()...)
}

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "lavmeasure",
		Usage: "measure routing decisions against their baselines",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: defaultSeed, Usage: "seed of all random numbers"},
			&cli.StringFlag{Name: "only", Usage: "run only the measures whose names start with this prefix"},
			&cli.StringFlag{Name: "plots", Usage: "directory for the plots; no plots are written if it is empty"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			options := lavreport.Options{Seed: command.Uint64("seed"), PlotDirectory: command.String("plots")}
			return run(command.Root().Writer, command.String("only"), options)
		},
	}
}

func run(out io.Writer, only string, options lavreport.Options) error {
	var rows []lavreport.Row
	for _, measure := range measures() {
		if !strings.HasPrefix(measure.Name, only) {
			continue
		}
		started := time.Now()
		measured, err := measure.Run(options)
		if err != nil {
			return errors.Wrap(err, "measure "+measure.Name)
		}
		fmt.Fprintf(os.Stderr, "%s took %s\n", measure.Name, time.Since(started).Round(time.Millisecond))
		rows = append(rows, measured...)
	}
	return lavreport.Print(out, rows)
}
