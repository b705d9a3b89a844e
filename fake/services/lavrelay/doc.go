// Package lavrelay relays TCP connections between loopback addresses. It can cut, hold or silence them.
package lavrelay
