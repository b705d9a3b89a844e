// Package lavprocess starts fleets of any size on loopback for measurements and reads what they use.
//
// The fault matrix has a fixed fleet behind a relay; a measurement wants neither the relay nor its cost.
package lavprocess
