// Package lavprocess starts fleets of any size on the loopback interface and reads the resources that they use.
//
// It has no relay, unlike the fleet of the fault matrix, because a relay would distort the measurements.
package lavprocess
