// Package lavcluster starts a small fleet as separate processes on the loopback interface, with a relay on every hop.
// Its fakes are the stand-ins that lavenderfake runs.
package lavcluster
