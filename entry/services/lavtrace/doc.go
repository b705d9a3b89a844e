// Package lavtrace records the routing decisions of recent requests for the state dump.
package lavtrace
