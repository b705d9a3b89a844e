// Package lavcmd holds the subcommands of lavenderswitch-entry.
package lavcmd
