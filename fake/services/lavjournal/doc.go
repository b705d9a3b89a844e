// Package lavjournal keeps the runs of a backend server in a file, so that a stand-in still reports them after it was
// killed and restarted.
package lavjournal
