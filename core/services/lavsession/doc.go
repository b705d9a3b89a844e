// Package lavsession keeps each session on one version.
//
// A session is identified by a client account, a session id and the model that the caller named. Up to two hosts,
// in different data centres, own the session by rendezvous hashing and keep its pin in a Table; the table service keeps
// a copy for the case that both are lost.
package lavsession
