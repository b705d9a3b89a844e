// Package lavqueue implements weighted fair queueing of requests between client accounts.
//
// Push queues a request, or refuses it at once with the time after which a retry can succeed. Pop returns the request
// with the earliest virtual finish time. Expire returns the requests whose deadline has passed. RecordDrained measures
// the drain rate, from which waits are predicted. The queue starts no goroutines or timers: its owner calls Pop when a
// backend server has capacity, and Expire on each tick.
package lavqueue
