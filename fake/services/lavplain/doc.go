// Package lavplain stands in for a plain service and counts how often each request ran.
package lavplain
