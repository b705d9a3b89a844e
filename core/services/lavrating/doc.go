// Package lavrating decides whether an answer may be rated before delivery, and queues delivered answers to be
// rated later.
//
// Requests must not wait for a rating service that is slow or down. A circuit breaker therefore stops ratings
// before delivery, and the queue for later ratings is bounded and drops what does not fit.
package lavrating
