// Package lavchange builds the JSON patches of common changes to a configuration.
package lavchange
