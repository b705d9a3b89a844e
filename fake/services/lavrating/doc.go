// Package lavrating is a stand-in of the platform's rating service. Its ratings can be wrong, late or missing.
package lavrating
