// Package lavsession keeps each session on one version.
//
// A session is identified by a client account, a session id and the model that the caller named. The host that owns the
// session keeps its pin in a Table; the table service keeps a copy for the case that both owners are lost.
package lavsession
