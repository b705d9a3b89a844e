// Package lavmetric provides counters and latency histograms that are published with expvar.
package lavmetric
