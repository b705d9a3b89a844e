// Package lavbalance chooses the backend server for an attempt.
//
// Choose compares two random candidates of a bounded subset (power of two choices). The cost of a candidate combines its
// reported load, corrected for the age of the report and for the requests that this host has sent since, its prefix cache,
// its distance and its ramp-up after a return to service. LeastWork and LeastBusy compare all servers instead, and
// LeastWorkOfSample those that have read a part of the prompt and a few others.
package lavbalance
