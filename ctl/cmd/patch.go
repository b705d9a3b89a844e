package lavcmd

import (
	"context"
	"net/url"

	"github.com/urfave/cli/v3"

	"lavenderswitch/ctl/services/lavclient"
)

func patchCommand() *cli.Command {
	return &cli.Command{
		Name:  "patch",
		Usage: "show the state of a patch",
		Commands: []*cli.Command{{
			Name: "status", Usage: "show whether a patch has been accepted", ArgsUsage: "PATCH-ID", Action: patchStatus,
			Description: "A patch in state Open may still be accepted; repeat it with config patch --id to get a final state.",
			Flags:       []cli.Flag{&cli.Uint64Flag{Name: flagBase, Usage: "configuration number that the patch was made against", Required: true}},
		}},
	}
}

func patchStatus(ctx context.Context, command *cli.Command) error {
	id, err := singleArgument(command, "PATCH-ID")
	if err != nil {
		return err
	}
	query := url.Values{"Base": {toText(command.Uint64(flagBase))}}
	return getAndPrint(ctx, command, "/patches/"+url.PathEscape(id), query, func(status lavclient.PatchStatus) [][]string {
		return [][]string{{"PATCH", "STATE", "NUMBER", "REMEDY"}, {string(status.Patch), status.State, toText(status.Number), status.Remedy}}
	})
}
