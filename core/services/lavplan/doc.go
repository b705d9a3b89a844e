// Package lavplan decides which versions serve a request, in which order.
//
// The plans open to a request form a frontier of cost and expected quality.
// Per client account a multiplier, set on each tick, states what a unit of
// quality may cost; it is the lowest one at which the expected quality over
// the account's mix of requests, corrected by the measured one, is on target.
package lavplan
