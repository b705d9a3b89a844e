// Package lavlog sets up structured logs and names their common fields.
package lavlog
