package lavcmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"lavenderswitch/ctl/services/lavclient"
)

func fleetCommand() *cli.Command {
	return &cli.Command{Name: "fleet", Usage: "list hosts and backend servers as one entry host reports them", Action: fleet}
}

func fleet(ctx context.Context, command *cli.Command) error {
	return getAndPrint(ctx, command, "/fleet", nil, fleetRows)
}

func fleetRows(fleet lavclient.Fleet) [][]string {
	rows := [][]string{{"HOST", "ROLE", "DATA CENTRE", "ADDRESS", "LEAVING", "FAILURES", "LAST HEARD"}}
	for i, host := range append([]lavclient.Host{fleet.Self}, fleet.Hosts...) {
		heard := formatTime(host.Heard)
		if i == 0 {
			heard = "this host"
		}
		rows = append(rows, []string{string(host.ID), host.Role, string(host.DataCentre), host.Address, toText(host.Leaving), toText(host.Failures), heard})
	}
	rows = append(rows, []string{}, []string{"BACKEND SERVER", "RUNS", "DATA CENTRE", "STATE", "TAKES WORK"})
	for _, server := range fleet.Servers {
		runs := string(server.Service)
		if runs == "" {
			runs = "models " + joinIDs(server.Versions)
		}
		rows = append(rows, []string{string(server.ID), runs, string(server.DataCentre), string(server.State), toText(server.InService)})
	}
	return append(rows, []string{}, []string{"configuration", toText(fleet.Number)})
}
