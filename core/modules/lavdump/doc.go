// Package lavdump serves the state of a process as JSON.
package lavdump
