// Package lavbroadcast exchanges state between entry hosts in small datagrams: the requests in progress at backend
// servers and the progress and counts of cutovers.
//
// Datagrams may be lost. A host that receives none decides on its own state alone.
package lavbroadcast
