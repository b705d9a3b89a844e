// Package lavcaller serves callers: chat completions, the list of models and plain services.
package lavcaller
