// Package lavdispatch receives attempts at the side process, admits them, runs them at the backend server and keeps their
// answers for readers.
package lavdispatch
