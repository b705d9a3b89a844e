// Package lavtrace remembers why recent requests went where they went.
package lavtrace
