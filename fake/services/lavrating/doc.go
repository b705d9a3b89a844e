// Package lavrating is a stand-in for the platform's rating service. Its ratings can be wrong, late or missing.
package lavrating
