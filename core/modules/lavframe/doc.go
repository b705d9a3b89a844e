// Package lavframe reads and writes the length-delimited frames of an answer stream.
package lavframe
