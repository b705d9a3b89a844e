// Package lavattempt sends one attempt to a side process and brings its answer back whole.
package lavattempt
