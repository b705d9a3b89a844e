// Package lavbill bills each request once.
//
// The entry host and the side process both keep the bill of a finished request and both write it. The row's key is the
// client account and request id, and a row is inserted only if absent, so the first write bills the request and later
// writes change nothing.
package lavbill
