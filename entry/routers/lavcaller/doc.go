// Package lavcaller serves the HTTP interface for callers: chat completions, the list of models, plain services and the
// readiness check.
package lavcaller
