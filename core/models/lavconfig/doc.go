// Package lavconfig defines the numbered configuration that operators patch.
//
// A Document is immutable: each accepted patch creates a new one with the next number.
package lavconfig
