// Package lavobject is a stand-in for the platform's object store, in memory.
package lavobject
