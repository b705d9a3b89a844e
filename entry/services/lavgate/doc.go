// Package lavgate admits requests to the pools of backend servers.
//
// A request is admitted at once while its pool has capacity. Otherwise it waits in the pool's fair queue, or is refused at
// once if it would wait past its deadline.
package lavgate
