// Package lavforward serves one request of a caller through the backend servers themselves: it chooses a server, sends
// the request, repeats it where that is allowed and delivers one whole answer or an explicit error.
package lavforward
