// Package lavengine is a stand-in for a model engine. It simulates batching, warm-up, overload, and streams that can be
// resumed and cancelled.
package lavengine
