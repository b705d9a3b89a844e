// Package lavrevision numbers the states of the platform's store.
package lavrevision
