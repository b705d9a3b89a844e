// Package lavtcp tells resets of TCP connections from ends in order, and when bytes arrived from when they are read.
package lavtcp
