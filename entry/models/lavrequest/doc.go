// Package lavrequest holds the types of a caller's request and its answer within an entry host.
package lavrequest
