// Package lavrating decides when an answer may be rated before delivery and keeps answers that wait for a rating.
//
// No request waits on a rating service that is slow or down: a breaker stops
// asking it, and the queue of later ratings is bounded and drops.
package lavrating
