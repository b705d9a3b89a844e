// Package lavcommand is the command line of the programs that have a settings file and run until they are told to end.
package lavcommand
