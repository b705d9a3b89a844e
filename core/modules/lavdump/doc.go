// Package lavdump shows the state of a process as JSON on request.
package lavdump
