package lavspread

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
)

// The validity of confirmations that no higher number exists.
const (
	// StoreConfirmationTTL is how long a read of the store that found no higher number stays valid.
	StoreConfirmationTTL = 4 * time.Second
	// PeerConfirmationTTL is how long a host's report that it has no higher number stays valid.
	PeerConfirmationTTL = 2 * time.Second
)

// retryAfterStale is the time after which a caller may retry a request that was refused for lack of a confirmed
// configuration.
const retryAfterStale = time.Second

// Freshness records when Number was last confirmed to be the newest configuration number.
type Freshness struct {
	Number lavid.ConfigNumber
	// StoreConfirmed is the start of the newest read of the store that found nothing above Number, or zero before the
	// first.
	StoreConfirmed time.Time
	// PeerConfirmed holds, for each data centre, when a host in it last had no number above Number.
	PeerConfirmed map[lavid.DataCentreID]time.Time
}

// Current holds the newest configuration that this process has received, and how recently it was confirmed.
type Current struct {
	mu        sync.RWMutex
	document  *lavconfig.Document
	freshness Freshness
	changed   chan struct{}
}

// NewCurrent returns a holder without a configuration.
func NewCurrent() *Current {
	return &Current{changed: make(chan struct{}), freshness: Freshness{PeerConfirmed: make(map[lavid.DataCentreID]time.Time)}}
}

// Adopt replaces the configuration and reports whether it did; a document whose number is not higher is ignored, so
// that the number never decreases.
func (c *Current) Adopt(document *lavconfig.Document, _ time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.document != nil && document.Number <= c.document.Number {
		return false
	}
	c.document = document
	c.freshness.Number = document.Number
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// Document returns the newest configuration, however old its confirmations are, or nil before the first one.
func (c *Current) Document() *lavconfig.Document {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.document
}

// Number returns the number of the newest configuration, or zero before the first one.
func (c *Current) Number() lavid.ConfigNumber {
	document := c.Document()
	if document == nil {
		return 0
	}
	return document.Number
}

// Confirm records that a read of the store that started at started found no number above the current one.
func (c *Current) Confirm(started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirm(started)
}

// confirm records a store confirmation; the caller holds the lock.
func (c *Current) confirm(started time.Time) {
	if started.After(c.freshness.StoreConfirmed) {
		c.freshness.StoreConfirmed = started
	}
}

// MergeFreshness merges the confirmations of a peer and reports whether they cover the number held here. Those of a peer
// with a higher number do not and are ignored.
func (c *Current) MergeFreshness(peer Freshness) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if peer.Number > c.freshness.Number {
		return false
	}
	c.confirm(peer.StoreConfirmed)
	for id, confirmed := range peer.PeerConfirmed {
		if confirmed.After(c.freshness.PeerConfirmed[id]) {
			c.freshness.PeerConfirmed[id] = confirmed
		}
	}
	return true
}

// Freshness returns a copy of the current confirmations.
func (c *Current) Freshness() Freshness {
	c.mu.RLock()
	defer c.mu.RUnlock()
	copied := c.freshness
	copied.PeerConfirmed = make(map[lavid.DataCentreID]time.Time, len(c.freshness.PeerConfirmed))
	for id, confirmed := range c.freshness.PeerConfirmed {
		copied.PeerConfirmed[id] = confirmed
	}
	return copied
}

// Age returns the time since the newest confirmation by the store, read by this host or by a peer.
func (c *Current) Age(now time.Time) time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return elapsed(c.freshness.StoreConfirmed, now)
}

// Changed returns a channel that closes when the next configuration is adopted.
func (c *Current) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// InForce returns the configuration under which new work may be admitted at now, or nil when there is none or it is not
// confirmed.
func (c *Current) InForce(now time.Time) *lavconfig.Document {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.document == nil || !c.freshness.isRecent(c.document, now) {
		return nil
	}
	return c.document
}

// Check returns an error with a remedy when InForce returns no configuration.
func (c *Current) Check(now time.Time) error {
	if c.InForce(now) != nil {
		return nil
	}
	return laverror.New(
		laverror.KindConfigUnavailable,
		"this host has no recent confirmation that its configuration is the newest",
		"try another host; restore the connection from this host to the store or to hosts in other data centres",
	).WithRetryAfter(retryAfterStale)
}

// isRecent reports whether the store confirmed the number recently, or hosts in a majority of data centres did.
func (f Freshness) isRecent(document *lavconfig.Document, now time.Time) bool {
	if elapsed(f.StoreConfirmed, now) <= StoreConfirmationTTL {
		return true
	}
	confirming := 0
	for id := range document.DataCentres {
		if elapsed(f.PeerConfirmed[id], now) <= PeerConfirmationTTL {
			confirming++
		}
	}
	return confirming >= Majority(len(document.DataCentres))
}

// Majority returns the smallest number of data centres that is more than half of count.
func Majority(count int) int {
	return count/2 + 1
}

// elapsed returns the larger of the monotonic and the wall clock difference, because the monotonic clock may stop while
// a host is suspended.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
