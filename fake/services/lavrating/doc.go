// Package lavrating rates answers of the stand-in engine with noise, delay and gaps.
package lavrating
