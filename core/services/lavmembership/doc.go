// Package lavmembership keeps the table of hosts of the system, from the platform's lagging host list and from direct evidence.
//
// Hosts and failures of hosts are rows; Merge, Heard and Failed are the events
// that change them, and Live, Owners and Pick decide from them at a given time.
package lavmembership
