// Package lavclient is a client for the operator API of entry hosts.
package lavclient
