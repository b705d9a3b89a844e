package lavspread

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
)

// The bounds within which evidence allows new work.
const (
	// StoreConfirmationTTL is how long a comparison with the store stays valid.
	StoreConfirmationTTL = 4 * time.Second
	// PeerConfirmationTTL is how long a host's word that it knows no higher number stays valid.
	PeerConfirmationTTL = 2 * time.Second
)

const retryAfterStale = time.Second

// Freshness says up to when a holder of Number knew every accepted configuration.
type Freshness struct {
	Number lavid.ConfigNumber
	// StoreConfirmed is the start of the newest read of the store that found nothing above Number; zero when there was none.
	StoreConfirmed time.Time
	// PeerConfirmed holds for each data centre when a host in it last knew nothing above Number.
	PeerConfirmed map[lavid.DataCentreID]time.Time
}

// Current holds the newest configuration that this process has seen.
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

// Adopt replaces the configuration by a newer one and ignores any other, so that the number never goes back.
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

// Confirm records that a read of the store which began at started found no number above the current one.
func (c *Current) Confirm(started time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirm(started)
}

func (c *Current) confirm(started time.Time) {
	if started.After(c.freshness.StoreConfirmed) {
		c.freshness.StoreConfirmed = started
	}
}

// MergeFreshness takes over the evidence of a peer unless the peer knows a higher number.
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

// Freshness returns a copy of the present evidence.
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

// Age returns the time since every accepted configuration was known to be held here.
func (c *Current) Age(now time.Time) time.Duration {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return elapsed(c.freshness.StoreConfirmed, now)
}

// Changed returns a channel that closes at the next adoption.
func (c *Current) Changed() <-chan struct{} {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.changed
}

// InForce returns the configuration, or nil when there is none that may decide new work now.
func (c *Current) InForce(now time.Time) *lavconfig.Document {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.document == nil || !c.freshness.isRecent(c.document, now) {
		return nil
	}
	return c.document
}

// Check returns an error with its remedy when no configuration may decide new work now.
func (c *Current) Check(now time.Time) error {
	if c.InForce(now) != nil {
		return nil
	}
	return laverror.New(
		laverror.KindConfigUnavailable,
		"this host cannot tell whether its configuration is the newest",
		"try another host; restore the way from this host to the store or to hosts in other data centres",
	).WithRetryAfter(retryAfterStale)
}

// isRecent tells whether a comparison with the store is recent, or hosts in most data centres know no higher number.
func (e Freshness) isRecent(document *lavconfig.Document, now time.Time) bool {
	if elapsed(e.StoreConfirmed, now) <= StoreConfirmationTTL {
		return true
	}
	confirming := 0
	for id := range document.DataCentres {
		if elapsed(e.PeerConfirmed[id], now) <= PeerConfirmationTTL {
			confirming++
		}
	}
	return confirming >= Majority(len(document.DataCentres))
}

// Majority returns how many of count data centres are more than half of them.
func Majority(count int) int {
	return count/2 + 1
}

// elapsed takes the larger of the monotonic and the wall clock time, because a suspended machine may stop the former.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}
