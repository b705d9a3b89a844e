// Package lavbroadcast tells the other entry hosts what this one has in progress and has counted, in small datagrams.
//
// Nothing depends on a datagram's arrival: a host that hears nobody decides by
// what it knows itself.
package lavbroadcast
