// Package lavcmd holds the subcommands of lavenderfake.
package lavcmd
