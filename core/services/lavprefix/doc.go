// Package lavprefix estimates which backend servers cache which prompt prefixes.
//
// The estimates come from the servers' cache events, which can be late or missing, and from the entry host's own routing.
// A probability decays with age. A gap in the numbering of a server's events halves the probabilities of all its prefixes.
package lavprefix
