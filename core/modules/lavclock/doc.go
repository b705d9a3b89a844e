// Package lavclock provides a clock that includes the time in suspension and ignores changes of the wall clock.
package lavclock
