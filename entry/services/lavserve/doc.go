// Package lavserve takes a request from acceptance to its bill: plan, choice of server, attempts, answer.
package lavserve
