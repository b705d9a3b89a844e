// Package lavload measures load balancing, queueing and limiting against their baselines.
//
// Rows named "direct" simulate time: they call the decision code with the time as an argument and a small fake of a model
// engine. Rows named "processes" run the programs themselves.
package lavload
