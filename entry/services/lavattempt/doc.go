// Package lavattempt sends an attempt to a side process and assembles its complete answer across lost connections.
package lavattempt
