// Package lavreport spreads the state of each entry host to all others through relays, without a network of its own.
//
// A host reports to two relays of its data centre. Relays exchange the sums of their data centres and send the sum over all
// hosts to those that report to them. A sum lists the reports that it contains, so that each report counts once, whatever
// way it came by, and a host can leave out its own.
package lavreport
