// Package lavconfig holds the numbered configuration that operators patch.
//
// A Document is never changed after it was built: every accepted patch gives a
// new one with the next number.
package lavconfig
