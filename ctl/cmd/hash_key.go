package lavcmd

import (
	"bufio"
	"context"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/modules/lavkey"
)

func hashKeyCommand() *cli.Command {
	return &cli.Command{
		Name:        "hash-key",
		Usage:       "print the hash of a key read from standard input",
		Description: "Configurations and settings contain only hashes of keys.\n\nExample:\n   openssl rand -hex 24 | tee caller.key | lavenderctl hash-key",
		Action:      hashKey,
	}
}

func hashKey(_ context.Context, command *cli.Command) error {
	line, err := bufio.NewReader(command.Root().Reader).ReadString('\n')
	key := strings.TrimSpace(line)
	if key == "" {
		if err == nil {
			err = errors.New("the first line is empty")
		}
		return errors.Wrap(err, "no key on standard input")
	}
	printLine(command, "%s", lavkey.Hash(key))
	return nil
}
