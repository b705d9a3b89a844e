// Package lavcluster starts a small fleet as separate processes on the loopback, with a relay in every hop.
package lavcluster
