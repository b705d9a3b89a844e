// Package lavtests is the root package of the tests that run the whole system.
package lavtests
