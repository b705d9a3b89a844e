// Package lavobject is an in-memory object store.
package lavobject
