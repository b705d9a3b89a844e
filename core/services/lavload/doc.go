// Package lavload sums the work in progress at each backend server over this host and its peers.
package lavload
