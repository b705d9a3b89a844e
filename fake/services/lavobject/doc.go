// Package lavobject is a stand-in of the platform's object store, in memory.
package lavobject
