// Package lavfleet tracks the load and health of backend servers and chooses the server of each attempt.
package lavfleet
