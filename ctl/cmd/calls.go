package lavcmd

import (
	"context"
	"encoding/json"
	"net/url"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/ctl/services/lavclient"
)

const (
	flagAccount     = "account"
	flagRequest     = "request"
	flagAttempt     = "attempt"
	flagRan         = "ran"
	flagNotRun      = "not-run"
	flagStatusCode  = "status-code"
	flagContentType = "content-type"
	flagBody        = "body-file"
)

func callsCommand() *cli.Command {
	return &cli.Command{
		Name:  "calls",
		Usage: "list and settle once-only calls whose outcome is unknown",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list calls in doubt, including calls that are still running", Action: listCalls},
			{
				Name: "settle", Usage: "record whether the backend server ran a call", Action: settleCall,
				Description: "Find out from the backend server whether it ran the call before settling it. Repeats of the\ncall are answered with the recorded outcome.\n\nExample:\n   lavenderctl calls settle --account demo --request claim-17 --attempt 5f0c… --not-run",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: flagAccount, Usage: "client account", Required: true},
					&cli.StringFlag{Name: flagRequest, Usage: "request id", Required: true},
					&cli.StringFlag{Name: flagAttempt, Usage: "attempt id from calls list", Required: true},
					&cli.BoolFlag{Name: flagRan, Usage: "the backend server ran the call"},
					&cli.BoolFlag{Name: flagNotRun, Usage: "the backend server did not run the call"},
					&cli.Int64Flag{Name: flagStatusCode, Usage: "HTTP status code of the backend server's answer, if known"},
					&cli.StringFlag{Name: flagContentType, Usage: "content type of that answer"},
					&cli.StringFlag{Name: flagBody, Usage: "file with the body of that answer"},
				},
			},
		},
	}
}

func listCalls(ctx context.Context, command *cli.Command) error {
	client, err := newClient(command)
	if err != nil {
		return err
	}
	all := lavclient.CallPage{Calls: []lavclient.CallInDoubt{}}
	for after := ""; ; {
		var page lavclient.CallPage
		if err := client.Read(ctx, "/calls/in-doubt", url.Values{"After": {after}}, &page); err != nil {
			return err
		}
		all.Calls = append(all.Calls, page.Calls...)
		if page.Next == "" || page.Next == after {
			break
		}
		after = page.Next
	}
	if command.Bool(flagJSON) {
		data, err := json.Marshal(all)
		if err != nil {
			return errors.Wrap(err, "encode the calls")
		}
		return printJSON(command, data)
	}
	rows := [][]string{{"ACCOUNT", "REQUEST", "ATTEMPT", "BACKEND SERVER", "HOLDER", "CLAIMED"}}
	for _, call := range all.Calls {
		rows = append(rows, []string{string(call.Account), string(call.Request), string(call.Attempt), string(call.Server), call.Holder, formatTime(call.Claimed)})
	}
	return printTable(command, rows)
}

func settleCall(ctx context.Context, command *cli.Command) error {
	if command.Bool(flagRan) == command.Bool(flagNotRun) {
		return usageError{errors.New("give either --ran or --not-run")}
	}
	settlement := lavclient.Settlement{
		Account:     lavid.AccountID(command.String(flagAccount)),
		Request:     lavid.RequestID(command.String(flagRequest)),
		Attempt:     lavid.AttemptID(command.String(flagAttempt)),
		Ran:         command.Bool(flagRan),
		StatusCode:  int(command.Int64(flagStatusCode)),
		ContentType: command.String(flagContentType),
	}
	if name := command.String(flagBody); name != "" {
		body, err := os.ReadFile(name) //nolint:gosec // the operator names the file
		if err != nil {
			return errors.Wrap(err, "read the answer; check --body-file")
		}
		settlement.Body = body
	}
	client, err := newClient(command)
	if err != nil {
		return err
	}
	data, err := client.Settle(ctx, settlement)
	if err != nil {
		return err
	}
	return printJSON(command, data)
}
