package lavcmd

import (
	"context"
	"encoding/json"
	"os"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/ctl/services/lavchange"
	"lavenderswitch/ctl/services/lavclient"
)

// submitFlags returns the flags of all commands that submit a patch.
func submitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: flagID, Usage: "patch id; give it to repeat a patch in doubt"},
		&cli.BoolFlag{Name: flagForce, Usage: "submit the patch despite warnings"},
		&cli.BoolFlag{Name: flagDryRun, Usage: "check the patch without submitting it"},
	}
}

// submitChange builds a patch against the current configuration, prints it and submits it.
func submitChange(ctx context.Context, command *cli.Command, build func(*lavconfig.Document) ([]lavchange.Operation, error)) error {
	client, err := newClient(command)
	if err != nil {
		return err
	}
	document, err := client.Config(ctx)
	if err != nil {
		return err
	}
	operations, err := build(document)
	if err != nil {
		return err
	}
	data, err := json.Marshal(operations)
	if err != nil {
		return errors.Wrap(err, "encode the patch")
	}
	if !command.Bool(flagJSON) {
		printLine(command, "patch against configuration %d: %s", document.Number, data)
	}
	return submit(ctx, command, document.Number, data)
}

// submit sends a patch. Its id is chosen before it is sent, so that the patch can be repeated when the reply is lost.
func submit(ctx context.Context, command *cli.Command, base lavid.ConfigNumber, operations []byte) error {
	submission := lavclient.Submission{
		ID:         lavid.PatchID(command.String(flagID)),
		Base:       base,
		Operations: operations,
		Force:      command.Bool(flagForce),
	}
	if submission.ID == "" {
		submission.ID = lavid.PatchID(uuid.NewString())
	}
	if command.Bool(flagDryRun) {
		return preview(ctx, command, submission)
	}
	client, err := newClient(command)
	if err != nil {
		return err
	}
	data, err := client.Submit(ctx, submission)
	if err != nil {
		return savePatch(submission, err)
	}
	if command.Bool(flagJSON) {
		return printJSON(command, data)
	}
	return printReceipt(command, data)
}

func printReceipt(command *cli.Command, data []byte) error {
	var receipt lavclient.Receipt
	if err := json.Unmarshal(data, &receipt); err != nil {
		return errors.Wrap(err, "decode the reply")
	}
	printLine(command, "accepted as configuration %d (patch %s)", receipt.Number, receipt.Patch)
	if receipt.InForce {
		printLine(command, "hosts in a majority of data centres have it: %s", joinIDs(receipt.Reached))
		return nil
	}
	printLine(command, "not yet confirmed in a majority of data centres, only in: %s; see lavenderctl fleet", joinIDs(receipt.Reached))
	return nil
}

// savePatch writes a patch in doubt to a file, because a repeat must send the same operations.
func savePatch(submission lavclient.Submission, cause error) error {
	if exitCode(cause) != ExitInDoubt && !lavclient.IsUnreachable(cause) {
		return cause
	}
	file, err := os.CreateTemp("", "lavenderctl-patch-*.json")
	if err != nil {
		return cause
	}
	defer file.Close()
	if _, err := file.Write(submission.Operations); err != nil {
		return cause
	}
	return errors.WithMessagef(cause, "in doubt; repeat with: lavenderctl config patch --base %d --id %s --file %s", submission.Base, submission.ID, file.Name())
}

// preview sends a patch as a dry run and prints the changes. It fails when the reply has faults or warnings.
func preview(ctx context.Context, command *cli.Command, submission lavclient.Submission) error {
	client, err := newClient(command)
	if err != nil {
		return err
	}
	submission.DryRun = true
	data, err := client.Submit(ctx, submission)
	if err != nil {
		return err
	}
	var reply lavclient.Preview
	if err := json.Unmarshal(data, &reply); err != nil {
		return errors.Wrap(err, "decode the reply")
	}
	if command.Bool(flagJSON) {
		if err := printJSON(command, data); err != nil {
			return err
		}
	} else if err := printTable(command, changeRows(reply.Changes)); err != nil {
		return err
	}
	if len(reply.Faults) > 0 {
		return errors.Errorf("the patch would be refused:\n%s", reply.Faults.Error())
	}
	if len(reply.Warnings) > 0 {
		return errors.Errorf("the patch would need --force:\n%s", reply.Warnings.Error())
	}
	return nil
}
