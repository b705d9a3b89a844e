package lavcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/ctl/services/lavlosses"
)

const flagPlot = "plot"

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "sum up from the logs of the entry hosts which requests were late, failed or refused, and why",
		ArgsUsage: "[FILE...]",
		Description: "Reads standard input when no file is given. Sums up by route, by length of the request, by client account, by data\n" +
			"centre and by windows of two seconds. Times are in the middle / at the 90th percentile.\n\nExample:\n" +
			"   lavenderctl losses --plot hour.svg entry-*.log",
		Flags:  []cli.Flag{&cli.StringFlag{Name: flagPlot, Usage: "also draw lateness, failures and the cost of second runs over time into this file (.svg, .png or .pdf)"}},
		Action: losses,
	}
}

func losses(_ context.Context, command *cli.Command) error {
	reader := lavlosses.NewReader()
	if err := readLogs(command, reader, command.Args().Slice()); err != nil {
		return err
	}
	report := reader.Report()
	if file := command.String(flagPlot); file != "" {
		if err := report.Plot(file); err != nil {
			return err
		}
	}
	if command.Bool(flagJSON) {
		data, err := json.Marshal(report)
		if err != nil {
			return errors.Wrap(err, "encode the losses")
		}
		return printJSON(command, data)
	}
	rows := [][]string{{"REQUESTS", "ALL", "LATE", "FAILED", "REFUSED", "LEFT", "FIRST", "WAITED", "DROPPED RUN", "LAST RUN", "PAUSE", "DROPPED", "WITHHELD", "DOUBTFUL", "COST"}}
	for _, part := range []struct {
		title  string
		groups []lavlosses.Group
	}{{"by route", report.Routes}, {"by length", report.Lengths}, {"by account", report.Accounts}, {"by data centre", report.DataCentres}, {"by window", report.Windows}} {
		rows = append(rows, []string{part.title})
		for _, group := range part.groups {
			rows = append(rows, lossesRow(group))
		}
	}
	if err := printTable(command, rows); err != nil {
		return err
	}
	printLine(command, "%d requests whose end no host logged; %d damaged log lines", report.Cut, report.Damaged)
	return nil
}

func lossesRow(group lavlosses.Group) []string {
	var withheld []string
	for _, reason := range slices.Sorted(maps.Keys(group.Withheld)) {
		withheld = append(withheld, fmt.Sprintf("%s %d", reason, group.Withheld[reason]))
	}
	quantiles := func(q lavlosses.Quantiles) string {
		if q.High == 0 {
			return ""
		}
		return fmt.Sprintf("%d / %d", q.Middle.Milliseconds(), q.High.Round(time.Millisecond).Milliseconds())
	}
	return []string{
		"  " + group.Name, fmt.Sprint(group.Requests), fmt.Sprint(group.Late), fmt.Sprint(group.Failed), fmt.Sprint(group.Refused), fmt.Sprint(group.Left),
		quantiles(group.First), quantiles(group.Waited), quantiles(group.FirstRun), quantiles(group.LastRun), quantiles(group.Pause),
		fmt.Sprint(group.Dropped), strings.Join(withheld, ", "), fmt.Sprint(group.Doubtful), fmt.Sprintf("%.2f", group.Cost),
	}
}
