package lavcmd

import (
	"context"

	"github.com/urfave/cli/v3"
)

func dumpCommand() *cli.Command {
	return &cli.Command{Name: "dump", Usage: "print the state dump of an entry host as JSON", Action: printPath("/dump")}
}

func varsCommand() *cli.Command {
	return &cli.Command{Name: "vars", Usage: "print the metrics of an entry host as JSON", Action: printPath("/debug/vars")}
}

func printPath(path string) cli.ActionFunc {
	return func(ctx context.Context, command *cli.Command) error {
		client, err := newClient(command)
		if err != nil {
			return err
		}
		data, err := client.Get(ctx, path, nil)
		if err != nil {
			return err
		}
		return printJSON(command, data)
	}
}
