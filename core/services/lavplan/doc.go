// Package lavplan decides which versions serve a request and in which order.
//
// A plan is one version, or a cascade of versions in which an answer is rated before the next version is tried.
// Plans are compared by expected cost and expected quality, and a request normally takes a plan on the concave hull of
// quality over cost. Pinned sessions, exploration and roll-outs may take another one.
//
// Each client account has a multiplier: the highest price that is paid for one more unit of expected quality.
// Every tick sets it to the lowest value at which the expected quality over the account's recent mix of requests
// meets its quality target. The target is corrected by the difference between it and the measured quality.
package lavplan
