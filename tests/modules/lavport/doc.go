// Package lavport reserves loopback addresses that no concurrent test run uses.
package lavport
