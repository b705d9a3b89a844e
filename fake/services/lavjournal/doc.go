// Package lavjournal keeps the runs of a backend server in a file, so that a killed stand-in still knows them after its restart.
package lavjournal
