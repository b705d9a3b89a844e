// Package laverror defines the typed errors that cross package borders.
//
// Each error names its kind, whether the work of the request ran, the remedy
// and, where there is one, the time after which a retry can succeed.
package laverror
