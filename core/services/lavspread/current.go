package lavspread

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// Current holds the newest configuration that this process has seen.
type Current struct {
	mu       sync.RWMutex
	document *lavconfig.Document
	checked  time.Time
	changed  chan struct{}
}

// NewCurrent returns a holder without a configuration.
func NewCurrent() *Current {
	return &Current{changed: make(chan struct{})}
}

// Adopt replaces the configuration by a newer one and ignores any other, so that the number never goes back.
func (c *Current) Adopt(document *lavconfig.Document, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked = now
	if c.document != nil && document.Number <= c.document.Number {
		return false
	}
	c.document = document
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Document returns the configuration in force here, or nil before the first.
func (c *Current) Document() *lavconfig.Document {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.document
}

// Number returns the number in force here, or zero before the first.
func (c *Current) Number() lavid.ConfigNumber {
	document := c.Document()
	if document == nil {
		return 0
	}
	return document.Number
}

// Confirm records that the configuration was compared with the store or a peer.
func (c *Current) Confirm(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked = now
}

// Age returns the time since the configuration was last compared with the store or a peer.
func (c *Current) Age(now time.Time) time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return now.Sub(c.checked)
}

// Changed returns a channel that closes at the next adoption.
func (c *Current) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}
