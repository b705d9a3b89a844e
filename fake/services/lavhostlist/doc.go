// Package lavhostlist is a host list that probes its hosts and shows changes late.
package lavhostlist
