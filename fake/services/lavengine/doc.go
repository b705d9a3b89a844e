// Package lavengine stands in for a model engine: it batches, warms up, falls over, resumes and cancels.
package lavengine
