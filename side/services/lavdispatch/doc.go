// Package lavdispatch runs attempts at the backend server and keeps their answers for readers.
package lavdispatch
