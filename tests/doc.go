// Package lavtests holds the integration tests of the whole system.
package lavtests
