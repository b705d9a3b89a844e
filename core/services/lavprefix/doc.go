// Package lavprefix keeps which backend servers are believed to cache which prompt prefix.
//
// Beliefs come from cache events, which arrive late and with gaps, and from the
// entry host's own routing. A belief fades with age; a gap in a server's events
// halves what is believed of it.
package lavprefix
