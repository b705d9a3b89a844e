package lavwatch

import (
	"sync/atomic"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/services/lavcutover"
)

// Operations holds everything that operators have written to the store: the configuration, the evacuated data centres
// and the cutovers that operators have ordered.
type Operations struct {
	// Table is nil before the first configuration.
	Table     *lavroute.Table
	Evacuated []lavid.DataCentreID
	Orders    []lavcutover.Order
}

// Current holds the configuration in force on this host. It is safe for concurrent use.
type Current struct {
	table     atomic.Pointer[lavroute.Table]
	confirmed atomic.Int64
}

// Table returns the configuration in force, or nil before the first one.
func (c *Current) Table() *lavroute.Table {
	return c.table.Load()
}

// Update puts a configuration in force and reports whether it did. It ignores nil and a table whose number is not above
// the current one.
func (c *Current) Update(table *lavroute.Table) bool {
	old := c.table.Load()
	if table == nil || old != nil && table.Number <= old.Number {
		return false
	}
	c.table.Store(table)
	return true
}

// Confirm records that the store was read at a time, so that the configuration in force was up to date then. Earlier times
// than the latest one have no effect.
func (c *Current) Confirm(readAt time.Time) {
	for {
		latest := c.confirmed.Load()
		if readAt.UnixNano() <= latest || c.confirmed.CompareAndSwap(latest, readAt.UnixNano()) {
			return
		}
	}
}

// Age returns the time since the store last confirmed the configuration in force. It has no meaning before the first
// call of Confirm.
func (c *Current) Age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.confirmed.Load()))
}
