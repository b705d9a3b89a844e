// Package lavrequest holds a caller's request on its way through an entry host.
package lavrequest
