// Package lavmetric counts events and times decisions, published by expvar.
package lavmetric
