// Package lavorder keeps the versions loaded in a model engine equal to those that the configuration and the placement
// assign to it.
//
// Reconciler.Step compares the engine's reported state with its assignment and sends at most one order. A fencing epoch
// in the table service lets only the newest side process of a backend server send orders. Slots in the table service
// and the rate limit of the weight store stagger the loads.
package lavorder
