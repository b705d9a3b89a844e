// Package lavoperator serves the HTTP interface for operators.
package lavoperator
