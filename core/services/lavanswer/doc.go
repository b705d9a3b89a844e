// Package lavanswer buffers the answer of an attempt, so that readers can attach at any offset, and checks whether an
// answer is complete.
package lavanswer
