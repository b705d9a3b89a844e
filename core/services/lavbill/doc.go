// Package lavbill bills each request once.
//
// The entry host and the side process both hold the bill of a finished
// request and both write it. The row's key is the client account and request
// id, and a row is inserted only if absent, so whoever comes first bills the
// request and nobody bills it again.
package lavbill
