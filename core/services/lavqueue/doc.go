// Package lavqueue orders waiting requests fairly between client accounts and refuses those that would wait too long.
//
// Push either queues a request or refuses it at once with the time after which
// a retry can succeed. Pop returns the request whose account has received the
// least service for its weight. Expire returns the requests that wait past
// their deadline. Drain reports finished service, from which waits are
// predicted. The queue neither sleeps nor starts anything: its owner calls Pop
// when a server has room and Expire on each tick.
package lavqueue
