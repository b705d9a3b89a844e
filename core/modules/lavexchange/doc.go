// Package lavexchange is an HTTP/1.1 client that never retries a request.
//
// Unlike the client of net/http, it reports whether a request may have been sent, and it checks that a response belongs
// to the request.
package lavexchange
