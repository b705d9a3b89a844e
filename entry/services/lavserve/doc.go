// Package lavserve serves an accepted request up to its bill: plan, choice of server, attempts and answer.
package lavserve
