// Package lavorder keeps a model engine on the versions that the configuration and the placement give it.
//
// Keeper.Step compares the engine's reported state with what it should hold
// and sends at most one order. A fencing epoch in the table service makes sure
// that only the newest side process of a backend server orders; slots in the
// table service and the weight store's own rate stagger the loads.
package lavorder
