package lavcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/ctl/services/lavexplain"
)

const (
	flagAround = "around"
	// defaultAround includes the log lines about the loss of a backend server that ended a request. Entry hosts detect
	// the loss within a few reads of the host list.
	defaultAround     = 3 * time.Second
	explainTimeLayout = "15:04:05.000"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the log lines of the entry hosts that concern a request",
		ArgsUsage: "REQUEST-ID [FILE...]",
		Description: "Reads standard input when no file is given. Shows the lines of the request from all hosts in order of time,\n" +
			"and the lines that these hosts logged about themselves and its backend servers around that time.\n\nExample:\n" +
			"   lavenderctl explain 9c41d07be2a35f68 entry-*.log",
		Flags:  []cli.Flag{&cli.DurationFlag{Name: flagAround, Usage: "also show lines of the same hosts from this time before the request until this time after it", Value: defaultAround}},
		Action: explain,
	}
}

func explain(_ context.Context, command *cli.Command) error {
	args := command.Args().Slice()
	if len(args) == 0 {
		return usageError{errors.New("no request id; give it before the log files")}
	}
	reader := lavexplain.NewReader(lavid.RequestID(args[0]))
	if err := readLogs(command, reader, args[1:]); err != nil {
		return err
	}
	lines, err := reader.Lines(command.Duration(flagAround))
	if err != nil {
		return err
	}
	if command.Bool(flagJSON) {
		data, err := json.Marshal(lines)
		if err != nil {
			return errors.Wrap(err, "encode the log lines")
		}
		return printJSON(command, data)
	}
	return printTable(command, explainRows(lines))
}

// logReader reads the log of a source.
type logReader interface {
	Read(log io.Reader, source string) error
}

// readLogs reads the files, or standard input if there are none.
func readLogs(command *cli.Command, reader logReader, files []string) error {
	if len(files) == 0 {
		return reader.Read(command.Root().Reader, "standard input")
	}
	for _, name := range files {
		if err := readLog(reader, name); err != nil {
			return err
		}
	}
	return nil
}

func readLog(reader logReader, name string) error {
	file, err := os.Open(name) //nolint:gosec // the operator names the file
	if err != nil {
		return errors.Wrap(err, "open the log")
	}
	defer file.Close()
	return reader.Read(file, filepath.Base(name))
}

func explainRows(lines []lavexplain.Line) [][]string {
	rows := [][]string{{"TIME", "HOST", "WHAT", "BACKEND SERVER", "DETAILS"}}
	for _, line := range lines {
		event := line.What
		if line.Request == "" {
			event = "(" + event + ")"
		}
		var details []string
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			details = append(details, fmt.Sprintf("%s=%v", name, line.Fields[name]))
		}
		rows = append(rows, []string{line.At.Format(explainTimeLayout), string(line.Host), event, string(line.Server), strings.Join(details, " ")})
	}
	return rows
}
