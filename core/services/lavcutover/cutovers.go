package lavcutover

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavrollout"
)

// Settings are the parameters of cutovers.
type Settings struct {
	// TrialShare is the share of new sessions that a release serves during its trial.
	TrialShare lavid.Share
	// Exposure bounds the sends to a release before the end of its cutover.
	Exposure Exposure
	// MaxSessionPause is the longest pause between two requests of one session. After a longer one, the session counts as
	// new.
	MaxSessionPause time.Duration
	// Test holds the parameters of the statistical tests on answers, of which cutovers use the failure test.
	Test lavrollout.Settings
	// StopEvidence is the evidence (a likelihood ratio) at which a release is stopped, and DoubtEvidence that at which it
	// may not take all traffic.
	StopEvidence  float64
	DoubtEvidence float64
	// MaxCompleteEvidence is the highest evidence at which a release may complete, after which the old servers end.
	// Without answers the evidence is 1.
	MaxCompleteEvidence float64
	// OnMove is called with each session that changes its release though it should have stayed; it may be nil.
	OnMove func(Move)
}

// maxSessions bounds the sessions whose release is kept; the least recently used is removed first.
const maxSessions = 16384

// Preference is how servers of a release may be used for a session.
type Preference int

// The preferences. Servers of a Fallback release are used only if no Preferred one can serve the request.
const (
	Never Preference = iota
	Fallback
	Preferred
)

// sessionKey identifies a session of a service.
type sessionKey struct {
	service lavid.ServiceID
	session string
}

// sessionPlacement holds the release that served a session last.
type sessionPlacement struct {
	release lavid.ReleaseID
	// used is when the session's latest send began or ended, and inProgress the number of its sends that have not ended.
	used       time.Time
	inProgress int
}

// callerDelay is how much later than the host the caller sees the end of an answer, from which pauses of a session count.
const callerDelay = 500 * time.Millisecond

// continues reports whether a request at now belongs to the session's current run of requests.
func (p sessionPlacement) continues(maxPause time.Duration, now time.Time) bool {
	return p.inProgress > 0 || now.Sub(p.used) <= maxPause+callerDelay
}

// cutover is the state of one service's cutover on this host.
type cutover struct {
	progress Progress
	// revision is that of the stored row, with a version of zero if there is none.
	revision lavrevision.Revision
	// writtenAt is the revision in which the progress was stored. It precedes that of the stored row while the store lacks the progress.
	writtenAt lavrevision.Revision
	// restore states that the store lacks the progress since it came back from a copy, so that it has to be written again.
	restore bool
	// ordered reports whether the operator's order is still in force.
	ordered bool
	// stopped reports whether this host has stopped the release, even if the stored row does not state it yet.
	stopped bool
	// takesAll reports whether the release takes all traffic.
	takesAll bool
	// idleSince is the time from which the old servers have had no work in progress; zero while they have some.
	idleSince time.Time
	// learnedAt is when this host learned of the cutover, and earlier the sessions that older releases served then or
	// soon after, at any host. Of these, it holds only those that would be part of the trial.
	learnedAt time.Time
	earlier   SessionSet
	// dueSince is the time from which a change of the row has been due; the hosts of higher rank write it only after a
	// delay.
	dueSince time.Time
}

// Cutovers holds the cutovers of all services. It is safe for concurrent use.
type Cutovers struct {
	settings   Settings
	statistics *statistics
	sessions   *lru.Cache[sessionKey, sessionPlacement]

	mu   sync.Mutex
	rows map[lavid.ServiceID]*cutover
	// appearances holds the releases that listings have shown.
	appearances appearances
	// clockOffset is the store's clock minus this host's clock.
	clockOffset time.Duration
	// rowsRead reports whether the rows in the store have been read.
	rowsRead bool
	// era is the store's era as far as this host knows, since eraSince.
	era      lavrevision.Era
	eraSince time.Time
}

// New returns cutovers without orders.
func New(settings Settings) *Cutovers {
	sessions, err := lru.New[sessionKey, sessionPlacement](maxSessions)
	if err != nil {
		// lru.New fails only if the size is not positive.
		panic(err)
	}
	return &Cutovers{settings: settings, statistics: newStatistics(), sessions: sessions, rows: make(map[lavid.ServiceID]*cutover), appearances: make(appearances)}
}

// storeTime converts a time of this host to the store's clock, in nanoseconds since the Unix epoch.
func (c *Cutovers) storeTime(now time.Time) time.Duration {
	return time.Duration(now.UnixNano()) + c.clockOffset
}

// SetStoreClock sets the offset of the store's clock, which showed store (since the Unix epoch) when this host's clock
// showed now.
func (c *Cutovers) SetStoreClock(store time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clockOffset = store - time.Duration(now.UnixNano())
}

// SetOrders replaces the operators' orders. An order for another release than the current one starts a new
// cutover.
func (c *Cutovers) SetOrders(orders []Order, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ordered := make(map[lavid.ServiceID]bool, len(orders))
	for _, order := range orders {
		ordered[order.Service] = true
		row, found := c.rows[order.Service]
		if found && row.progress.To == order.To {
			row.ordered = true
			continue
		}
		revision := lavrevision.Revision{Era: c.era}
		progress := Progress{Service: order.Service, To: order.To, Duration: order.Duration}
		if found {
			revision = row.revision
			// With such evidence, the release would not have been completed.
			row.stopped = row.stopped || row.progress.State == Running && c.statistics.evidence(row.progress, c.settings.Test) >= c.settings.DoubtEvidence
			progress.Past = row.past(order.To)
		}
		c.statistics.clear(order.Service)
		c.rows[order.Service] = &cutover{
			ordered:   true,
			revision:  revision,
			dueSince:  now,
			learnedAt: now,
			earlier:   c.earlierSessions(progress, now),
			progress:  progress,
		}
	}
	for service, row := range c.rows {
		row.ordered = ordered[service]
	}
}

// ApplyRow applies a row from the store or a peer if it is newer than the current one, and reports whether that
// changed the cutover.
func (c *Cutovers) ApplyRow(progress Progress, revision lavrevision.Revision, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	row, found := c.rows[progress.Service]
	if !found {
		row = &cutover{}
		c.rows[progress.Service] = row
	}
	if row.progress.To == progress.To {
		// Hosts of earlier builds tell and write no past.
		progress.Past = row.progress.Past.Union(progress.Past)
		row.progress.Past = progress.Past
	}
	if row.mayBeCopy(progress, revision) {
		return row.applyAfterReturn(progress, revision, now)
	}
	if !row.revision.Before(revision) {
		return false
	}
	ordered := row.ordered
	if found && row.progress.To != "" && row.progress.To != progress.To && row.ordered && row.progress.State == "" {
		// The row is of an earlier order, which the new order replaces. Its version is needed to overwrite it.
		row.revision = revision
		earlier := cutover{progress: progress}
		row.progress.Past = row.progress.Past.Union(earlier.past(row.progress.To))
		return false
	}
	if row.progress.To != progress.To {
		progress.Past = progress.Past.Union(row.past(progress.To))
	}
	next := cutover{progress: progress, revision: revision, writtenAt: revision, ordered: ordered, dueSince: now}
	if row.progress.To == progress.To {
		next.stopped, next.learnedAt, next.earlier = row.stopped, row.learnedAt, row.earlier
	} else {
		next.learnedAt, next.earlier = now, c.earlierSessions(progress, now)
	}
	*row = next
	return true
}

// MarkRowsRead records that the rows in the store have been read. Tick returns no changes before that.
func (c *Cutovers) MarkRowsRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rowsRead = true
}

// RowsRead reports whether the rows in the store have been read.
func (c *Cutovers) RowsRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rowsRead
}

// Preferences returns a function that gives the preference of each release of a service for a session.
func (c *Cutovers) Preferences(service lavid.ServiceID, session string, now time.Time) func(lavid.ReleaseID) Preference {
	c.mu.Lock()
	defer c.mu.Unlock()
	var progress Progress
	newer, older := Preferred, Preferred
	if row, found := c.rows[service]; found && row.progress.To != "" {
		progress = row.progress
		newer, older = c.preferences(row, session, now)
	}
	awaiting := c.appearances.awaitingOrder(service, now)
	if awaiting == nil && progress.Past == (Past{}) {
		return func(release lavid.ReleaseID) Preference {
			if release == progress.To {
				return newer
			}
			return older
		}
	}
	current := c.releaseOf(sessionKey{service, session}, now)
	return func(release lavid.ReleaseID) Preference {
		switch {
		case release == progress.To:
			return newer
		case awaiting[release] && release != current:
			return progress.Past.limit(release, current, min(older, Fallback))
		default:
			return progress.Past.limit(release, current, older)
		}
	}
}

// preferences returns the preference of the new release of a cutover for a session, and that of the older ones.
func (c *Cutovers) preferences(row *cutover, session string, now time.Time) (newer, older Preference) {
	switch {
	case row.stopped || row.progress.State == Stopped:
		return Never, Preferred
	case row.progress.State == Complete:
		// The old servers may end without notice once the cutover is complete.
		return Preferred, Fallback
	case row.progress.State != Running || !row.ordered:
		return Never, Preferred
	case c.usesNewRelease(row, session, now):
		return Preferred, Fallback
	case row.progress.inTrial(c.storeTime(now) - row.progress.Began):
		return Never, Preferred
	default:
		return Fallback, Preferred
	}
}

// releaseOf returns the release on which a session runs, or an empty ID if it is new.
func (c *Cutovers) releaseOf(key sessionKey, now time.Time) lavid.ReleaseID {
	placement, found := c.sessions.Get(key)
	if !found || !placement.continues(c.settings.MaxSessionPause, now) {
		return ""
	}
	return placement.release
}

// usesNewRelease reports whether a session goes to the new release. A session on the new release stays there; one
// on the old release stays there during the trial. Other sessions go there if they fall into the trial share or if
// the release takes all traffic.
func (c *Cutovers) usesNewRelease(row *cutover, session string, now time.Time) bool {
	elapsed := c.storeTime(now) - row.progress.Began
	if elapsed < 0 {
		return false
	}
	inTrial := row.progress.inTrial(elapsed)
	placement, found := c.sessions.Get(sessionKey{row.progress.Service, session})
	if found && placement.continues(c.settings.MaxSessionPause, now) {
		if placement.release == row.progress.To {
			return true
		}
		if inTrial {
			return false
		}
	}
	if inTrial && (elapsed < settleTime || now.Sub(row.learnedAt) < settleTime || row.earlier.Contains(session)) {
		return false
	}
	return row.takesAll || c.mayEnterTrial(row.progress, session)
}

// RecordSend counts a send and records the release that serves the session. RecordEnd has to follow.
func (c *Cutovers) RecordSend(server lavserver.Server, session string, now time.Time) {
	c.statistics.addSend(server)
	c.mu.Lock()
	defer c.mu.Unlock()
	key := sessionKey{server.Service, session}
	before, found := c.sessions.Get(key)
	placement := sessionPlacement{release: server.Release, used: now, inProgress: before.inProgress + 1}
	c.sessions.Add(key, placement)
	row, ordered := c.rows[server.Service]
	if !ordered {
		return
	}
	c.keepEarlier(row, placement, session)
	if found && before.continues(c.settings.MaxSessionPause, now) {
		c.countMove(row, Move{Service: server.Service, Session: session, From: before.release, To: server.Release, Pause: now.Sub(before.used)}, now)
	}
}

// RecordEnd records the end of a send.
func (c *Cutovers) RecordEnd(server lavserver.Server, session string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := sessionKey{server.Service, session}
	placement, found := c.sessions.Peek(key)
	if !found {
		return
	}
	placement.inProgress = max(placement.inProgress-1, 0)
	placement.used = now
	c.sessions.Add(key, placement)
}

// Observe counts an answer of a backend server as failed or not.
func (c *Cutovers) Observe(server lavserver.Server, outcome Outcome) {
	c.statistics.addOutcome(server, outcome)
}

// ObserveDuration counts a duration that is compared with others of its kind.
func (c *Cutovers) ObserveDuration(server lavserver.Server, kind string, took time.Duration) {
	c.statistics.addDuration(server, kind, took, c.isOld(server))
}

// StartTiming starts timing an answer, which is compared with others of its kind.
//
// For a varied kind, it also counts against a release if its times exceed longerFactor times the baseline too often. Where the
// expected time is known, it counts against a release if its times exceed that by more than those of the older ones.
func (c *Cutovers) StartTiming(server lavserver.Server, awaited Awaited, now time.Time) *Timing {
	return c.statistics.startTiming(server, awaited, c.isOld(server), now)
}

// isOld reports whether a server runs a release with which the one that its service moves to is compared.
func (c *Cutovers) isOld(server lavserver.Server) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	row, found := c.rows[server.Service]
	return !found || row.progress.To != server.Release && row.progress.Past.comparable(server.Release)
}
