// Package lavframe reads and writes the length-delimited protobuf frames of an answer stream.
package lavframe
