// Package lavclock tells a time that goes on while the machine is suspended and that no change of the time of day moves.
package lavclock
