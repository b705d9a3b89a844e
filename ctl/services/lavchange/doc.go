// Package lavchange builds the patches of common changes from the configuration that was just read.
package lavchange
