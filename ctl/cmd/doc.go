// Package lavcmd holds the subcommands of lavenderctl.
package lavcmd
