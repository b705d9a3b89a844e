// Package lavforward forwards a caller's request to backend servers without side processes: it chooses a server, sends
// the request, repeats it where that is allowed, and delivers either one complete answer or an explicit error.
package lavforward
