package lavcutover

import (
	"slices"
	"time"

	"github.com/bits-and-blooms/bloom/v3"
)

const (
	// sessionSetBits and sessionSetHashes size a SessionSet: one session in 200 counts as a member by mistake when it holds
	// 300 sessions, and one in 20 when it holds 1,000.
	sessionSetBits   = 8192
	sessionSetHashes = 2
	// SessionSetWords is the number of words of a SessionSet that is not empty.
	SessionSetWords = sessionSetBits / 64
)

// SessionSet is a set of sessions as the words of a Bloom filter; nil is the empty set. Sessions can be added but not removed, so
// that hosts which exchange their sets come to hold the same one in whatever order the messages arrive. Its methods change no
// set in place.
type SessionSet []uint64

// Contains reports whether the set contains a session. Rarely, it returns true for one that was not added.
func (s SessionSet) Contains(session string) bool {
	return s.valid() && bloom.FromWithM(s, sessionSetBits, sessionSetHashes).TestString(session)
}

// With returns the set with a further session.
func (s SessionSet) With(session string) SessionSet {
	if s.Contains(session) {
		return s
	}
	words := make(SessionSet, SessionSetWords)
	copy(words, s)
	bloom.FromWithM(words, sessionSetBits, sessionSetHashes).AddString(session)
	return words
}

// Union returns the set of the sessions of both sets. A set with another number of words counts as empty.
func (s SessionSet) Union(other SessionSet) SessionSet {
	switch {
	case !other.valid() || slices.Equal(s, other):
		return s
	case !s.valid():
		return other
	}
	words := slices.Clone(s)
	for i, word := range other {
		words[i] |= word
	}
	return words
}

func (s SessionSet) valid() bool { return len(s) == SessionSetWords }

// AddEarlierSessions adds the sessions that other hosts have reported as served by older releases when the cutover to a release
// began. They stay on those releases during its trial.
func (c *Cutovers) AddEarlierSessions(status Status) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row, found := c.rows[status.Progress.Service]; found && row.progress.To == status.Progress.To {
		row.earlier = row.earlier.Union(status.Earlier)
	}
}

// mayEnterTrial reports whether the position of a session lies within the trial share.
func (c *Cutovers) mayEnterTrial(progress Progress, session string) bool {
	return progress.sessionPosition(session) < float64(c.settings.TrialShare)
}

// earlierSessions returns the sessions of this host that older releases serve when it learns of a cutover.
func (c *Cutovers) earlierSessions(progress Progress, now time.Time) SessionSet {
	var set SessionSet
	for _, key := range c.sessions.Keys() {
		placement, found := c.sessions.Peek(key)
		if !found || key.service != progress.Service || placement.release == progress.To || !placement.continues(c.settings.MaxSessionPause, now) {
			continue
		}
		if c.mayEnterTrial(progress, key.session) {
			set = set.With(key.session)
		}
	}
	return set
}

// keepEarlier adds a session that was sent to an older release before it could enter the trial.
func (c *Cutovers) keepEarlier(row *cutover, placement sessionPlacement, session string) {
	if (row.progress.State == "" || row.progress.State == Running) && placement.release != row.progress.To && c.mayEnterTrial(row.progress, session) {
		row.earlier = row.earlier.With(session)
	}
}
