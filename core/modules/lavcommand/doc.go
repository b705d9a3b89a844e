// Package lavcommand provides the command line of long-running programs that have a settings file.
package lavcommand
