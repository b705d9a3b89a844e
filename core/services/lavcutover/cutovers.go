package lavcutover

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavrollout"
)

// Settings are the bounds of cutovers.
type Settings struct {
	// TrialShare is the part of new sessions that a release takes during its trial.
	TrialShare lavid.Share
	// Exposure bounds what a release takes before its time ends.
	Exposure Exposure
	// MaxSessionPause is the longest pause within one session.
	MaxSessionPause time.Duration
	// Test is the test on answers.
	Test lavrollout.Settings
	// StopEvidence is the evidence at which a release is stopped, and DoubtAt that at which it does not take over.
	StopEvidence  float64
	DoubtEvidence float64
	// MaxCompleteEvidence is the evidence up to which a release may complete, as the old servers end with it; without answers it is 1.
	MaxCompleteEvidence float64
}

// rememberedSessions bounds the sessions whose release is remembered.
const maxSessions = 16384

// Preference says whether a server of a release may serve a session.
type Preference int

// The preferences; Fallback releases serve where no preferred one can.
const (
	Never Preference = iota
	Fallback
	Preferred
)

type sessionKey struct {
	service lavid.ServiceID
	session string
}

type sessionPlacement struct {
	release lavid.ReleaseID
	used    time.Time
}

// cutover is one service's cutover as this host knows it.
type cutover struct {
	progress Progress
	// version is that of the row, zero while it is not written.
	version float64
	// ordered says that the operator's order stands.
	ordered bool
	// stopped says that this host has stopped the release, whatever the row says.
	stopped bool
	// moved says that the release takes everything.
	takesAll bool
	// quiet is since when no old server has work in progress.
	idleSince time.Time
	// due is since when the row should have changed.
	dueSince time.Time
}

// Cutovers holds the cutovers of all services; it is safe for concurrent use.
type Cutovers struct {
	settings   Settings
	statistics *statistics
	sessions   *lru.Cache[sessionKey, sessionPlacement]

	mu   sync.Mutex
	rows map[lavid.ServiceID]*cutover
	// offset turns this host's time into the store's.
	clockOffset time.Duration
	// known says that the rows in the store have been read.
	rowsRead bool
}

// New returns cutovers without orders.
func New(settings Settings) *Cutovers {
	sessions, err := lru.New[sessionKey, sessionPlacement](maxSessions)
	if err != nil {
		// New fails only for a size that is not positive.
		panic(err)
	}
	return &Cutovers{settings: settings, statistics: newStatistics(), sessions: sessions, rows: make(map[lavid.ServiceID]*cutover)}
}

// storeTime is a time of this host on the store's clock.
func (c *Cutovers) storeTime(now time.Time) time.Duration {
	return time.Duration(now.UnixNano()) + c.clockOffset
}

// SetStoreClock takes over the store's clock.
func (c *Cutovers) SetStoreClock(store time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clockOffset = store - time.Duration(now.UnixNano())
}

// SetOrders takes over the operators' orders.
func (c *Cutovers) SetOrders(orders []Order, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ordered := make(map[lavid.ServiceID]bool, len(orders))
	for _, order := range orders {
		ordered[order.Service] = true
		row, known := c.rows[order.Service]
		if known && row.progress.To == order.To {
			row.ordered = true
			continue
		}
		c.statistics.clear(order.Service)
		version := 0.0
		if known {
			version = row.version
		}
		c.rows[order.Service] = &cutover{
			ordered:  true,
			version:  version,
			dueSince: now,
			progress: Progress{
				Service:  order.Service,
				To:       order.To,
				Duration: order.Duration,
			},
		}
	}
	for service, row := range c.rows {
		row.ordered = ordered[service]
	}
}

// ApplyRow takes over a row from the store or a peer, unless a newer one is known; it returns whether that is a change.
func (c *Cutovers) ApplyRow(progress Progress, version float64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	row, known := c.rows[progress.Service]
	if !known {
		row = &cutover{}
		c.rows[progress.Service] = row
	}
	if version <= row.version {
		return false
	}
	ordered := row.ordered
	if known && row.progress.To != "" && row.progress.To != progress.To && row.ordered && row.progress.State == "" {
		// The row is of an earlier order; the new one replaces it.
		row.version = version
		return false
	}
	*row = cutover{progress: progress, version: version, ordered: ordered, stopped: row.stopped && row.progress.To == progress.To, dueSince: now}
	return true
}

// MarkRowsRead records that the store's rows have been read.
func (c *Cutovers) MarkRowsRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rowsRead = true
}

// RowsRead tells whether the store's rows have been read.
func (c *Cutovers) RowsRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rowsRead
}

// Allowed returns which releases of a service may serve a session.
func (c *Cutovers) Allowed(service lavid.ServiceID, session string, now time.Time) func(lavid.ReleaseID) Preference {
	c.mu.Lock()
	defer c.mu.Unlock()
	row, known := c.rows[service]
	if !known || row.progress.To == "" {
		return func(lavid.ReleaseID) Preference { return Preferred }
	}
	to := row.progress.To
	isNew := func(release lavid.ReleaseID) bool { return release == to }
	switch {
	case row.stopped || row.progress.State == Stopped:
		return preferences(isNew, Never, Preferred)
	case row.progress.State == Complete:
		// The old servers end without notice once the cutover is complete.
		return preferences(isNew, Preferred, Fallback)
	case row.progress.State != Running || !row.ordered:
		return preferences(isNew, Never, Preferred)
	}
	if c.usesNewRelease(row, session, now) {
		return preferences(isNew, Preferred, Fallback)
	}
	if row.progress.inTrial(c.storeTime(now) - row.progress.Began) {
		return preferences(isNew, Never, Preferred)
	}
	return preferences(isNew, Fallback, Preferred)
}

func preferences(isNew func(lavid.ReleaseID) bool, newer, older Preference) func(lavid.ReleaseID) Preference {
	return func(release lavid.ReleaseID) Preference {
		if isNew(release) {
			return newer
		}
		return older
	}
}

// takesNew decides whether a session goes to the new release.
func (c *Cutovers) usesNewRelease(row *cutover, session string, now time.Time) bool {
	elapsed := c.storeTime(now) - row.progress.Began
	if elapsed < 0 {
		return false
	}
	placement, found := c.sessions.Get(sessionKey{row.progress.Service, session})
	if found && now.Sub(placement.used) <= c.settings.MaxSessionPause {
		if placement.release == row.progress.To {
			return true
		}
		if row.progress.inTrial(elapsed) {
			return false
		}
	}
	return row.takesAll || row.progress.sessionPosition(session) < float64(c.settings.TrialShare)
}

// RecordSend records a send and remembers which release served the session.
func (c *Cutovers) RecordSend(server lavserver.Server, session string, now time.Time) {
	c.sessions.Add(sessionKey{server.Service, session}, sessionPlacement{release: server.Release, used: now})
	c.statistics.addSend(server)
}

// Observe counts an answer of a backend server.
func (c *Cutovers) Observe(server lavserver.Server, outcome Outcome) {
	c.statistics.addOutcome(server, outcome)
}

// ObserveDuration counts how long something took that may be compared with others of its kind.
func (c *Cutovers) ObserveDuration(server lavserver.Server, kind string, took time.Duration) {
	c.statistics.addDuration(server, kind, took, c.isOld(server))
}

// StartTiming starts the wait for an answer that may be compared with others of its kind.
//
// The times of a varied kind differ more by request and load than by server, so
// that being often longer than usual speaks against a release, too.
func (c *Cutovers) StartTiming(server lavserver.Server, kind string, varied bool, now time.Time) *Timing {
	return c.statistics.startTiming(server, kind, varied, c.isOld(server), now)
}

func (c *Cutovers) isOld(server lavserver.Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	row, known := c.rows[server.Service]
	return !known || row.progress.To != server.Release
}
