// Package lavclient speaks to the operators' interface of an entry host.
package lavclient
