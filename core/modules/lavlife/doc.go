// Package lavlife provides helpers for goroutines that run in the background until their context ends.
package lavlife
