// Package lavbroadcast sends the messages of lavreport between entry hosts in datagrams: loads and speeds of backend servers,
// the progress and counts of cutovers, and what relays know of the store.
//
// Datagrams may be lost. A host that receives none decides on its own state alone.
package lavbroadcast
