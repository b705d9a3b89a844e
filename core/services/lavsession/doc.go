// Package lavsession keeps each session on one version.
//
// A session is a client account, a session id and the model that the caller
// named. Its owner holds the pin in a Table; the table service holds it for
// the time after both owners are gone.
package lavsession
