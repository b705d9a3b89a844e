// Package lavexchange sends one HTTP/1.1 request over a kept or a new connection, once.
//
// Unlike the client of net/http it never repeats a request by itself, it tells
// whether anything was sent, and it gives an answer only to the request whose
// answer it is.
package lavexchange
