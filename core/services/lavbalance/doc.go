// Package lavbalance chooses the backend server of an attempt.
package lavbalance
