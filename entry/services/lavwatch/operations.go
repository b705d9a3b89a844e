package lavwatch

import (
	"sync/atomic"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/services/lavcutover"
)

// Operations is all that operators want at one moment.
type Operations struct {
	// Table is nil before the first configuration.
	Table     *lavroute.Table
	Evacuated []lavid.DataCentreID
	Orders    []lavcutover.Order
}

// Current holds the configuration in force on this host.
type Current struct {
	table     atomic.Pointer[lavroute.Table]
	confirmed atomic.Int64
}

// Table returns the configuration in force, or nil before the first one.
func (c *Current) Table() *lavroute.Table {
	return c.table.Load()
}

// Update puts a configuration in force unless a newer one is, and tells whether it did.
func (c *Current) Update(table *lavroute.Table) bool {
	old := c.table.Load()
	if table == nil || old != nil && table.Number <= old.Number {
		return false
	}
	c.table.Store(table)
	return true
}

// Confirm records that the store has confirmed the configuration in force.
func (c *Current) Confirm(now time.Time) {
	c.confirmed.Store(now.UnixNano())
}

// Age is the time since the store confirmed the configuration in force.
func (c *Current) Age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.confirmed.Load()))
}
