package lavcmd

import (
	"context"
	"io"
	"net/url"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/ctl/services/lavclient"
)

const (
	flagBase   = "base"
	flagFile   = "file"
	flagID     = "id"
	flagForce  = "force"
	flagDryRun = "dry-run"
	flagNumber = "number"
	flagLimit  = "limit"
	flagBelow  = "below"
	flagFrom   = "from"
	flagTo     = "to"
)

func configCommand() *cli.Command {
	file := &cli.StringFlag{Name: flagFile, Usage: "file with the JSON patch; - reads standard input", Value: "-"}
	base := &cli.Uint64Flag{Name: flagBase, Usage: "configuration number that the patch was made against", Required: true}
	return &cli.Command{
		Name:  "config",
		Usage: "read and patch the configuration",
		Commands: []*cli.Command{
			{
				Name: "get", Usage: "print the configuration in force, or an earlier one", Action: getConfig,
				Flags: []cli.Flag{&cli.Uint64Flag{Name: flagNumber, Usage: "number of an earlier configuration"}},
			},
			{
				Name: "patch", Usage: "submit a JSON patch (RFC 6902) against a configuration number", Action: patchConfig,
				Description: "Example:\n   echo '[{\"op\":\"replace\",\"path\":\"/DataCentres/dc-2/State\",\"value\":\"OutOfService\"}]' | lavenderctl config patch --base 41",
				Flags:       append([]cli.Flag{base, file}, submitFlags()...),
			},
			{
				Name: "dry-run", Usage: "check a JSON patch without submitting it", Action: dryRunConfig,
				Flags: []cli.Flag{base, file},
			},
			{
				Name: "history", Usage: "list accepted patches, newest first", Action: history,
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: flagLimit, Usage: "maximum number of patches to list", Value: 20},
					&cli.Uint64Flag{Name: flagBelow, Usage: "list only patches that made a configuration below this number"},
				},
			},
			{
				Name: "diff", Usage: "list the values that differ between two configurations", Action: diff,
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: flagFrom, Usage: "number of the older configuration; default: the one before --to"},
					&cli.Uint64Flag{Name: flagTo, Usage: "number of the newer configuration; default: the current one"},
				},
			},
		},
	}
}

func getConfig(ctx context.Context, command *cli.Command) error {
	client, err := newClient(command)
	if err != nil {
		return err
	}
	path := "/config"
	if command.IsSet(flagNumber) {
		path += "/" + toText(command.Uint64(flagNumber))
	}
	data, err := client.Get(ctx, path, nil)
	if err != nil {
		return err
	}
	return printJSON(command, data)
}

func patchConfig(ctx context.Context, command *cli.Command) error {
	operations, err := readOperations(command)
	if err != nil {
		return err
	}
	return submit(ctx, command, lavid.ConfigNumber(command.Uint64(flagBase)), operations)
}

func dryRunConfig(ctx context.Context, command *cli.Command) error {
	operations, err := readOperations(command)
	if err != nil {
		return err
	}
	return preview(ctx, command, lavclient.Submission{Base: lavid.ConfigNumber(command.Uint64(flagBase)), Operations: operations})
}

func readOperations(command *cli.Command) ([]byte, error) {
	if name := command.String(flagFile); name != "-" {
		data, err := os.ReadFile(name) //nolint:gosec // the operator names the file
		return data, errors.Wrap(err, "read the patch; check --file")
	}
	data, err := io.ReadAll(command.Root().Reader)
	return data, errors.Wrap(err, "read the patch from standard input")
}

func history(ctx context.Context, command *cli.Command) error {
	query := url.Values{"Limit": {toText(command.Uint64(flagLimit))}}
	if command.IsSet(flagBelow) {
		query.Set("Below", toText(command.Uint64(flagBelow)))
	}
	return getAndPrint(ctx, command, "/config/history", query, func(entries []lavclient.HistoryEntry) [][]string {
		rows := [][]string{{"NUMBER", "SUBMITTED", "AUTHOR", "PATCH", "OPERATIONS"}}
		for _, entry := range entries {
			rows = append(rows, []string{toText(entry.Number), formatTime(entry.Submitted), entry.Author, string(entry.Patch), shorten(entry.Operations)})
		}
		return rows
	})
}

func diff(ctx context.Context, command *cli.Command) error {
	query := url.Values{}
	if command.IsSet(flagFrom) {
		query.Set("From", toText(command.Uint64(flagFrom)))
	}
	if command.IsSet(flagTo) {
		query.Set("To", toText(command.Uint64(flagTo)))
	}
	return getAndPrint(ctx, command, "/config/diff", query, changeRows)
}

func changeRows(changes []lavclient.Change) [][]string {
	rows := [][]string{{"PATH", "BEFORE", "AFTER"}}
	for _, change := range changes {
		rows = append(rows, []string{change.Path, shorten(change.Before), shorten(change.After)})
	}
	return rows
}

// maxShownBytes limits the length of a JSON value in a table.
const maxShownBytes = 100

// shorten returns a JSON value cut to maxShownBytes, or "-" for no value.
func shorten(data []byte) string {
	if len(data) == 0 {
		return "-"
	}
	if len(data) > maxShownBytes {
		return string(data[:maxShownBytes]) + "…"
	}
	return string(data)
}
