// Package lavring assigns keys to hosts by rendezvous hashing.
package lavring
