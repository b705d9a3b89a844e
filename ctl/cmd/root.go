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

// The exit codes of the program.
const (
	ExitDone       = 0
	ExitFailed     = 1
	ExitWrongUsage = 2
	ExitConflict   = 3
	ExitInDoubt    = 4
)

const description = `Every change is a patch against the configuration number that you read. When
somebody else was faster, the patch is refused with exit code 3 and you see what
changed. When the store's reply was lost, exit code 4 says that the patch may be
in force or not; repeat the same command with the --id that it names.

Examples:
   lavenderctl config get
   lavenderctl config patch --base 41 < patch.json
   lavenderctl rollout start small-2 --replaces small-1 --share 0.01
   lavenderctl rollout widen small-2 --share 0.1
   lavenderctl datacentre out dc-2
   lavenderctl calls list

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict, 4 in doubt.`

// Main runs the command line and returns its exit code.
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
			&cli.StringSliceFlag{Name: flagAddress, Usage: "URL of the operators' listener of an entry host; several are tried in turn", Sources: cli.EnvVars("LAVENDERCTL_ADDRESS")},
			&cli.StringFlag{Name: flagKey, Usage: "operator's key", Sources: cli.EnvVars("LAVENDERCTL_KEY")},
			&cli.StringFlag{Name: flagAuthority, Usage: "certificates that the entry hosts' certificates are checked against", Sources: cli.EnvVars("LAVENDERCTL_AUTHORITY_FILE")},
			&cli.BoolFlag{Name: flagJSON, Usage: "print JSON in place of tables"},
		},
		Commands: []*cli.Command{
			configCommand(), patchCommand(), fleetCommand(), rolloutCommand(), dataCentreCommand(), serverCommand(),
			callsCommand(), dumpCommand(), varsCommand(), explainCommand(), hashKeyCommand(),
		},
	}
	markUsageErrors(root)
	return root
}

// markUsageErrors makes a wrong command line of a command or of one below it a usageError.
func markUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError{err}
	}
	for _, below := range command.Commands {
		markUsageErrors(below)
	}
}

// usageError is a command line that cannot be run.
type usageError struct{ error }

func exitCode(err error) int {
	var usage usageError
	if errors.As(err, &usage) {
		return ExitWrongUsage
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

func client(command *cli.Command) (*lavclient.Client, error) {
	if command.String(flagKey) == "" {
		return nil, usageError{errors.New("no key is given; set LAVENDERCTL_KEY or give --key")}
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
		return nil, usageError{errors.New("no entry host is named; set LAVENDERCTL_ADDRESS or give --address")}
	}
	return &lavclient.Client{Addresses: addresses, Key: command.String(flagKey), HTTP: &http.Client{Transport: transport}}, nil
}

// argument returns the only argument of a command.
func argument(command *cli.Command, what string) (string, error) {
	if command.Args().Len() != 1 {
		return "", usageError{errors.Errorf("%s takes one argument: %s", command.FullName(), what)}
	}
	return command.Args().First(), nil
}
