// Package lavload measures the decisions on load against their baselines.
//
// The rows named "direct" drive the decision code with its time argument
// against a small fake of a model engine; the rows named "processes" run the
// programs themselves.
package lavload
