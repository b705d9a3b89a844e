// Package lavengine stands in for a model engine.
package lavengine
