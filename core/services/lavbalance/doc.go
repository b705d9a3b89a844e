// Package lavbalance chooses the backend server of an attempt.
//
// Two random candidates out of a bounded subset are compared by the latency
// expected of them: reported load, corrected for its age and for what this host
// sent since, the prefix cache, the distance and the ramp after a return.
package lavbalance
