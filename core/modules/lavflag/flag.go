package lavflag

import (
	"github.com/urfave/cli/v3"

	"lavenderswitch/core/modules/lavsettings"
)

// SettingsFlag is the name of the flag for the settings file.
const SettingsFlag = "settings"

// Flags returns the flag for the settings file and a flag for each setting that can be overridden.
func Flags(settings any) []cli.Flag {
	flags := []cli.Flag{&cli.StringFlag{
		Name:     SettingsFlag,
		Usage:    "JSON settings file; see docs/SETTINGS.md",
		Sources:  cli.EnvVars(lavsettings.EnvironmentPrefix + "SETTINGS"),
		Required: true,
	}}
	for _, name := range lavsettings.OverridableNames(settings) {
		flags = append(flags, &cli.StringFlag{
			Name:    lavsettings.FlagName(name),
			Usage:   "overrides the setting " + name + " of the file",
			Sources: cli.EnvVars(lavsettings.EnvironmentName(name)),
		})
	}
	return flags
}

// Overrides returns the settings that are overridden by the command's flags or environment variables.
func Overrides(command *cli.Command, settings any) lavsettings.Overrides {
	overrides := lavsettings.Overrides{}
	for _, name := range lavsettings.OverridableNames(settings) {
		if flag := lavsettings.FlagName(name); command.IsSet(flag) {
			overrides[name] = command.String(flag)
		}
	}
	return overrides
}
