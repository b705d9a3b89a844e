// Package lavgate admits requests to the pools of backend servers.
//
// A request enters at once while its pool has room. Otherwise it waits in the
// pool's fair queue, or is refused at once when it would wait past its deadline.
package lavgate
