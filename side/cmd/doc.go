// Package lavcmd holds the subcommands of lavenderswitch-side.
package lavcmd
