// Package lavring chooses owners of keys by rendezvous hashing.
package lavring
