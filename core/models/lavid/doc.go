// Package lavid names the identifiers and units that every other package uses.
package lavid
