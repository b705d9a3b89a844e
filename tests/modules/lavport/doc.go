// Package lavport hands out loopback addresses on which no other test run listens.
package lavport
