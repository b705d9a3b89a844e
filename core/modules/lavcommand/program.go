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

// The exit codes that all programs share: success, a failure at runtime, and invalid settings.
const (
	ExitOK            = 0
	ExitFailed        = 1
	ExitWrongSettings = 2
)

// Program describes a long-running program and its type of settings.
type Program[Settings any] struct {
	Name        string
	Usage       string
	Description string
	Version     string
	// RunUsage is the help text of the run subcommand.
	RunUsage string
	// Read returns the validated settings of a file, or all its faults.
	Read func(path string, overrides lavsettings.Overrides) (Settings, error)
	// Run runs the program until ctx ends or a signal stops it. The source reads the settings again, for a reload.
	Run func(ctx context.Context, settings Settings, source Source[Settings]) error
	// ExitCode returns the exit code of a program-specific error, and ExitFailed for any other. It may be nil.
	ExitCode func(err error) int
}

// Source reads the settings of a running program again.
type Source[Settings any] struct {
	// Path is the path of the settings file.
	Path string
	// Read reads the file again and applies the flags and environment variables given at start.
	Read func() (Settings, error)
}

// Main runs the command line and returns the exit code.
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

// source returns the source of the settings for a command.
func (p Program[Settings]) source(command *cli.Command) Source[Settings] {
	path, overrides := command.String(lavflag.SettingsFlag), lavflag.Overrides(command, new(Settings))
	return Source[Settings]{Path: path, Read: func() (Settings, error) { return p.Read(path, overrides) }}
}
