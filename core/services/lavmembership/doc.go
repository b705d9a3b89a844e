// Package lavmembership keeps the table of the system's hosts, from the platform's host list, which lags, and from
// direct contact between hosts.
//
// Merge, RecordContact and RecordFailure change the rows of the table; Live, Owners and Pick select hosts from them at
// a given time.
package lavmembership
