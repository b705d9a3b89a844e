package lavcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// tablePadding is the number of spaces between two columns.
const tablePadding = 2

// getAndPrint reads a path and prints the reply as a table, whose rows render returns, or as JSON with --json.
func getAndPrint[Reply any](ctx context.Context, command *cli.Command, path string, query url.Values, render func(Reply) [][]string) error {
	client, err := newClient(command)
	if err != nil {
		return err
	}
	data, err := client.Get(ctx, path, query)
	if err != nil {
		return err
	}
	if command.Bool(flagJSON) {
		return printJSON(command, data)
	}
	var reply Reply
	if err := json.Unmarshal(data, &reply); err != nil {
		return errors.Wrap(err, "decode the reply; lavenderctl and the entry host may have different versions")
	}
	return printTable(command, render(reply))
}

func printJSON(command *cli.Command, data []byte) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, data, "", "  "); err != nil {
		return errors.Wrap(err, "reply is not JSON")
	}
	fmt.Fprintln(command.Root().Writer, strings.TrimSpace(indented.String()))
	return nil
}

func printTable(command *cli.Command, rows [][]string) error {
	writer := tabwriter.NewWriter(command.Root().Writer, 0, 0, tablePadding, ' ', 0)
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return errors.Wrap(writer.Flush(), "print the table")
}

func printLine(command *cli.Command, format string, values ...any) {
	fmt.Fprintf(command.Root().Writer, format+"\n", values...)
}

func toText[Value any](value Value) string {
	return fmt.Sprint(value)
}

func joinIDs[ID ~string](ids []ID) string {
	var texts []string
	for _, id := range ids {
		texts = append(texts, string(id))
	}
	return strings.Join(texts, ",")
}

// formatTime returns a time in RFC 3339 format, or "never" for the zero time.
func formatTime(moment time.Time) string {
	if moment.IsZero() {
		return "never"
	}
	return moment.Format(time.RFC3339)
}
