// Package lavid defines the identifier and unit types that the other packages share.
package lavid
