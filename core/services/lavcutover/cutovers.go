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
	// SessionSpan is the longest pause within one session.
	SessionSpan time.Duration
	// Test is the test on answers.
	Test lavrollout.Settings
	// StopAt is the evidence at which a release is stopped, and DoubtAt that at which it does not take over.
	StopAt  float64
	DoubtAt float64
	// CompleteUpTo is the evidence up to which a release may complete, as the old servers end with it; without answers it is 1.
	CompleteUpTo float64
}

// rememberedSessions bounds the sessions whose release is remembered.
const rememberedSessions = 16384

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

type seat struct {
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
	moved bool
	// quiet is since when no old server has work in progress.
	quiet time.Time
	// due is since when the row should have changed.
	due time.Time
}

// Cutovers holds the cutovers of all services; it is safe for concurrent use.
type Cutovers struct {
	settings Settings
	tally    *tally
	sessions *lru.Cache[sessionKey, seat]

	mu   sync.Mutex
	rows map[lavid.ServiceID]*cutover
	// offset turns this host's time into the store's.
	offset time.Duration
	// known says that the rows in the store have been read.
	known bool
}

// New returns cutovers without orders.
func New(settings Settings) *Cutovers {
	sessions, err := lru.New[sessionKey, seat](rememberedSessions)
	if err != nil {
		// New fails only for a size that is not positive.
		panic(err)
	}
	return &Cutovers{settings: settings, tally: newTally(), sessions: sessions, rows: make(map[lavid.ServiceID]*cutover)}
}

// storeTime is a time of this host on the store's clock.
func (c *Cutovers) storeTime(now time.Time) time.Duration {
	return time.Duration(now.UnixNano()) + c.offset
}

// Clock takes over the store's clock.
func (c *Cutovers) Clock(store time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset = store - time.Duration(now.UnixNano())
}

// Ordered takes over the operators' orders.
func (c *Cutovers) Ordered(orders []Order, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	standing := make(map[lavid.ServiceID]bool, len(orders))
	for _, order := range orders {
		standing[order.Service] = true
		row, known := c.rows[order.Service]
		if known && row.progress.To == order.To {
			row.ordered = true
			continue
		}
		c.tally.clear(order.Service)
		version := 0.0
		if known {
			version = row.version
		}
		c.rows[order.Service] = &cutover{
			ordered: true,
			version: version,
			due:     now,
			progress: Progress{
				Service:  order.Service,
				To:       order.To,
				Duration: order.Duration,
			},
		}
	}
	for service, row := range c.rows {
		row.ordered = standing[service]
	}
}

// Hear takes over a row from the store or a peer, unless a newer one is known; it returns whether that is a change.
func (c *Cutovers) Hear(progress Progress, version float64, now time.Time) bool {
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
	*row = cutover{progress: progress, version: version, ordered: ordered, stopped: row.stopped && row.progress.To == progress.To, due: now}
	return true
}

// Read records that the store's rows have been read.
func (c *Cutovers) Read() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known = true
}

// Known tells whether the store's rows have been read.
func (c *Cutovers) Known() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.known
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
		return prefer(isNew, Never, Preferred)
	case row.progress.State == Complete:
		// The old servers end without notice once the cutover is complete.
		return prefer(isNew, Preferred, Fallback)
	case row.progress.State != Running || !row.ordered:
		return prefer(isNew, Never, Preferred)
	}
	if c.takesNew(row, session, now) {
		return prefer(isNew, Preferred, Fallback)
	}
	if row.progress.inTrial(c.storeTime(now) - row.progress.Began) {
		return prefer(isNew, Never, Preferred)
	}
	return prefer(isNew, Fallback, Preferred)
}

func prefer(isNew func(lavid.ReleaseID) bool, newer, older Preference) func(lavid.ReleaseID) Preference {
	return func(release lavid.ReleaseID) Preference {
		if isNew(release) {
			return newer
		}
		return older
	}
}

// takesNew decides whether a session goes to the new release.
func (c *Cutovers) takesNew(row *cutover, session string, now time.Time) bool {
	elapsed := c.storeTime(now) - row.progress.Began
	if elapsed < 0 {
		return false
	}
	placed, seated := c.sessions.Get(sessionKey{row.progress.Service, session})
	if seated && now.Sub(placed.used) <= c.settings.SessionSpan {
		if placed.release == row.progress.To {
			return true
		}
		if row.progress.inTrial(elapsed) {
			return false
		}
	}
	return row.moved || row.progress.drawn(session) < float64(c.settings.TrialShare)
}

// Seat records a send and remembers which release served the session.
func (c *Cutovers) Seat(server lavserver.Server, session string, now time.Time) {
	c.sessions.Add(sessionKey{server.Service, session}, seat{release: server.Release, used: now})
	c.tally.addSend(server)
}

// Observe counts an answer of a backend server.
func (c *Cutovers) Observe(server lavserver.Server, outcome Outcome) {
	c.tally.add(server, outcome)
}

// ObserveTime counts how long something took that may be compared with others of its kind.
func (c *Cutovers) ObserveTime(server lavserver.Server, kind string, took time.Duration) {
	c.tally.addTime(server, kind, took, c.isOld(server))
}

// Time starts the wait for an answer that may be compared with others of its kind.
//
// The times of a varied kind differ more by request and load than by server, so
// that being often longer than usual speaks against a release, too.
func (c *Cutovers) Time(server lavserver.Server, kind string, varied bool, now time.Time) *Timing {
	return c.tally.timing(server, kind, varied, c.isOld(server), now)
}

func (c *Cutovers) isOld(server lavserver.Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	row, known := c.rows[server.Service]
	return !known || row.progress.To != server.Release
}
