// Package laverror defines the typed errors that packages exchange and clients receive.
//
// Each error has a kind, the run state of the request, a remedy and, if a retry can succeed, the time to wait.
package laverror
