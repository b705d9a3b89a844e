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
)

// part is a named group of measurements.
type part struct {
	name    string
	measure func(report *report) error
}

func parts() []part {
	return []part{
		{"config", measureConfig},
		{"messages", measureMessages},
		{"state", measureState},
		{"exchange", measureExchange},
		{"path", measurePath},
		{"platform", measurePlatform},
	}
}

func main() {
	if err := command().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "lavcapacity",
		Usage: "measure how state, messages, processor time and memory grow; run make build first",
		Flags: []cli.Flag{&cli.StringFlag{Name: "only", Usage: "run only the parts whose names start with this prefix"}},
		Action: func(_ context.Context, command *cli.Command) error {
			return run(command.Root().Writer, command.String("only"))
		},
	}
}

func run(out io.Writer, only string) error {
	for _, one := range parts() {
		if !strings.HasPrefix(one.name, only) {
			continue
		}
		began := time.Now()
		report := &report{}
		if err := one.measure(report); err != nil {
			return errors.Wrap(err, "measure "+one.name)
		}
		fmt.Fprintf(out, "\n%s (%s)\n", one.name, time.Since(began).Round(100*time.Millisecond))
		if err := report.print(out); err != nil {
			return err
		}
	}
	return nil
}
