package lavcommand

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/modules/lavflag"
	"lavenderswitch/core/modules/lavsettings"
)

// The exit codes that all programs share.
const (
	ExitOK            = 0
	ExitFailed        = 1
	ExitWrongSettings = 2
)

// Program is a program with settings of its own.
type Program[Settings any] struct {
	Name        string
	Usage       string
	Description string
	Version     string
	// RunUsage describes the subcommand that runs it.
	RunUsage string
	// Read returns the checked settings of a file, or all its faults.
	Read func(path string, overrides lavsettings.Overrides) (Settings, error)
	// Run runs until it is told to end. The function that it gets reads the settings anew.
	Run func(ctx context.Context, settings Settings, source Source[Settings]) error
	// ExitCode tells errors of the program's own apart; it may be nil, and returns ExitFailed for others.
	ExitCode func(err error) int
}

// Source is where the settings of a running program come from.
type Source[Settings any] struct {
	// Path is the settings file.
	Path string
	// Read reads it again, with the flags and variables of the start.
	Read func() (Settings, error)
}

// Main runs the command line and returns its exit code.
func (p Program[Settings]) Main(ctx context.Context, args []string) int {
	err := p.rootCommand().Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, err)
	var faults lavsettings.Faults
	switch {
	case errors.As(err, &faults):
		return ExitWrongSettings
	case p.ExitCode != nil:
		return p.ExitCode(err)
	default:
		return ExitFailed
	}
}

func (p Program[Settings]) rootCommand() *cli.Command {
	return &cli.Command{
		Name:        p.Name,
		Usage:       p.Usage,
		Description: p.Description,
		Version:     p.Version,
		Commands:    []*cli.Command{p.runCommand(), p.checkSettingsCommand()},
	}
}

// source returns where a command's settings come from.
func (p Program[Settings]) source(command *cli.Command) Source[Settings] {
	path, overrides := command.String(lavflag.SettingsFlag), lavflag.Overrides(command, new(Settings))
	return Source[Settings]{Path: path, Read: func() (Settings, error) { return p.Read(path, overrides) }}
}
