// Package lavpin finds the version of a session at its owners and, behind them, in the table service.
package lavpin
