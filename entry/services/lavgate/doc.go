// Package lavgate bounds the requests of each client account in progress at this entry host.
package lavgate
