package lavcmd

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavtls"
	"lavenderswitch/ctl/services/lavclient"
)

const (
	flagAddress   = "address"
	flagKey       = "key"
	flagJSON      = "json"
	flagAuthority = "authority-file"
)

// Exit codes of lavenderctl.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitInDoubt  = 4
)

const description = `Every change is a patch against a configuration number. If another patch was
accepted since that number, the patch is refused with exit code 3 and the later
patches are listed. If the reply of the store was lost, the exit code is 4 and
the patch may or may not be in force; repeat it with the printed --id.

Examples:
   lavenderctl config get
   lavenderctl config patch --base 41 < patch.json
   lavenderctl rollout start small-2 --replaces small-1 --share 0.01
   lavenderctl rollout widen small-2 --share 0.1
   lavenderctl datacentre out dc-2
   lavenderctl calls list

Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict, 4 in doubt.`

// Main runs the command line and returns the exit code of the process.
func Main(ctx context.Context, args []string, version string) int {
	root := newRoot(version)
	err := root.Run(ctx, args)
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(os.Stderr, "lavenderctl: "+err.Error())
	return exitCode(err)
}

func newRoot(version string) *cli.Command {
	root := &cli.Command{
		Name:        "lavenderctl",
		Usage:       "read and change the configuration and show the state of the fleet",
		Description: description,
		Version:     version,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagAddress, Usage: "URL of the operator listener of an entry host; several are tried in order", Sources: cli.EnvVars("LAVENDERCTL_ADDRESS")},
			&cli.StringFlag{Name: flagKey, Usage: "operator key", Sources: cli.EnvVars("LAVENDERCTL_KEY")},
			&cli.StringFlag{Name: flagAuthority, Usage: "PEM file with the certificate authorities that issued the entry hosts' certificates", Sources: cli.EnvVars("LAVENDERCTL_AUTHORITY_FILE")},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON instead of tables"},
		},
		Commands: []*cli.Command{
			configCommand(), patchCommand(), fleetCommand(), rolloutCommand(), dataCentreCommand(), serverCommand(),
			callsCommand(), dumpCommand(), varsCommand(), explainCommand(), lossesCommand(), hashKeyCommand(),
		},
	}
	markUsageErrors(root)
	return root
}

// markUsageErrors wraps the usage errors of a command and of its subcommands in usageError.
func markUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError{err}
	}
	for _, subcommand := range command.Commands {
		markUsageErrors(subcommand)
	}
}

// usageError is returned for an invalid command line.
type usageError struct{ error }

func exitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	var refusal *lavclient.Refusal
	if !errors.As(err, &refusal) {
		return ExitFailed
	}
	switch refusal.Kind() {
	case laverror.KindConflict:
		return ExitConflict
	case laverror.KindInDoubt:
		return ExitInDoubt
	default:
		return ExitFailed
	}
}

func newClient(command *cli.Command) (*lavclient.Client, error) {
	if command.String(flagKey) == "" {
		return nil, usageError{errors.New("no operator key; set LAVENDERCTL_KEY or give --key")}
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	if authority := command.String(flagAuthority); authority != "" {
		config, err := lavtls.ClientWithoutCertificate(authority)
		if err != nil {
			return nil, err
		}
		transport.TLSClientConfig = config
	}
	var addresses []string
	for _, address := range command.StringSlice(flagAddress) {
		addresses = append(addresses, strings.TrimSuffix(address, "/"))
	}
	if len(addresses) == 0 {
		return nil, usageError{errors.New("no address of an entry host; set LAVENDERCTL_ADDRESS or give --address")}
	}
	return &lavclient.Client{Addresses: addresses, Key: command.String(flagKey), HTTP: &http.Client{Transport: transport}}, nil
}

// singleArgument returns the only argument of a command, or a usageError when there is not exactly one.
func singleArgument(command *cli.Command, name string) (string, error) {
	if command.Args().Len() != 1 {
		return "", usageError{errors.Errorf("%s takes one argument: %s", command.FullName(), name)}
	}
	return command.Args().First(), nil
}
