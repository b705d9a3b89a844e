// Package lavserve serves an accepted request: it plans the versions, chooses servers, makes attempts, delivers the answer
// and bills it.
package lavserve
