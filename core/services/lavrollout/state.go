package lavrollout

import (
	"math"
	"slices"
	"sync"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/core/services/lavplan"
)

// State holds the tests of one owner, a host to which the counts of some models are reported. It is kept in memory only
// and may be lost.
type State struct {
	settings Settings

	mu       sync.Mutex
	rows     map[lavid.VersionID]Row
	pending  pendingBlocks
	lastTick time.Time
}

// NewState returns a state without evidence, under which every roll-out starts at its initial share.
func NewState(settings Settings) *State {
	return &State{settings: settings, rows: make(map[lavid.VersionID]Row), pending: make(pendingBlocks)}
}

// Observe adds counts for the next tick. Each report must be passed once only.
func (s *State) Observe(count lavevidence.Count) {
	s.mu.Lock()
	defer s.mu.Unlock()
	blocks, ok := s.pending[count.Version]
	if !ok {
		blocks = make(Blocks)
		s.pending[count.Version] = blocks
	}
	blocks.add(stratumOf(count.Key), blockOf(count.Counts))
}

// Tick runs the tests over the answers reported since the last tick and returns the resulting exposure.
func (s *State) Tick(document *lavconfig.Document, now time.Time) lavplan.Exposure {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.syncRows(document, now)
	s.updateRecent(now)
	for _, id := range s.ids() {
		s.rows[id] = s.testVersion(document, s.rows[id], now)
	}
	s.updatePasts()
	return s.exposure()
}

// syncRows starts a row for each version in use and removes the rows of other versions. A change of a version's
// state resets its tests and keeps its past and whether it is stopped.
func (s *State) syncRows(document *lavconfig.Document, now time.Time) {
	for id := range s.rows {
		version, exists := document.Versions[id]
		if !exists || version.State == lavconfig.VersionWithdrawn {
			delete(s.rows, id)
		}
	}
	for id, version := range document.Versions {
		if version.State == lavconfig.VersionWithdrawn {
			continue
		}
		old, found := s.rows[id]
		if found && old.State == version.State {
			continue
		}
		row := newRow(id, version.State, s.settings, now)
		if found {
			row.Past, row.Stopped = old.Past, old.Stopped
		}
		s.rows[id] = row
	}
}

// testVersion runs the tests of one version over the answers since the last tick, and stops it or adjusts its share.
func (s *State) testVersion(document *lavconfig.Document, row Row, now time.Time) Row {
	version := document.Versions[row.Version]
	own := s.pending[row.Version]
	if row.State != lavconfig.VersionRollingOut {
		peers, peersPast := s.peerBlocks(row.Version)
		row = row.compareWithOwnPast(own, s.peerShifts(row.Version), s.settings)
		return row.compareWithPeers(own, peers, peersPast, s.settings).stopOnEvidence(s.settings, now)
	}
	replaced, found := s.rows[version.Replaces]
	if !found {
		row = row.compareWithOwnPast(own, s.peerShifts(row.Version), s.settings)
	} else {
		row = row.compareWithReplaced(own, s.pending[version.Replaces], replaced.Past, s.settings)
	}
	return row.stopOnEvidence(s.settings, now).adjustShare(version, s.settings)
}

// updateRecent decays the recent answers of each version and adds those reported since the last tick.
func (s *State) updateRecent(now time.Time) {
	failures := decayFactor(s.settings.Failures.RecentHalfLife, s.lastTick, now)
	ratings := decayFactor(s.settings.Ratings.RecentHalfLife, s.lastTick, now)
	s.lastTick = now
	for id, row := range s.rows {
		row.Recent.scale(failures, ratings)
		for stratum, block := range s.pending[id] {
			row.Recent.add(stratum, block)
		}
	}
}

// decayFactor returns the weight of an answer from the last tick; it is zero before the first tick.
func decayFactor(halfLife time.Duration, last, now time.Time) float64 {
	if last.IsZero() {
		return 0
	}
	return math.Exp2(-float64(now.Sub(last)) / float64(halfLife))
}

// commonShifts holds the shift of versions from their past, per kind of bad answer.
type commonShifts struct {
	failures commonShift
	ratings  commonShift
}

// peerShifts returns how far all versions but one are above their past. A shift that they share is no evidence
// against a single version.
func (s *State) peerShifts(except lavid.VersionID) commonShifts {
	var sum commonShifts
	for _, id := range s.ids() {
		row := s.rows[id]
		if id == except || row.Stopped != ReasonNone {
			continue
		}
		for _, stratum := range sortedStrata(row.Recent) {
			recent, past := row.Recent[stratum], row.Past[stratum]
			sum.failures = sum.failures.plus(recent.Failures, past.Failures, s.settings.Failures)
			sum.ratings = sum.ratings.plus(recent.Ratings, past.Ratings, s.settings.Ratings)
		}
	}
	return sum
}

// peerBlocks sums the answers of all versions but one since the last tick, and the past of the strata with such
// answers.
func (s *State) peerBlocks(except lavid.VersionID) (current, past Blocks) {
	current, past = make(Blocks), make(Blocks)
	for _, id := range s.ids() {
		row := s.rows[id]
		if id == except || row.Stopped != ReasonNone {
			continue
		}
		for stratum, block := range s.pending[id] {
			current.add(stratum, block)
			past.add(stratum, row.Past[stratum])
		}
	}
	return current, past
}

// updatePasts adds the answers since the last tick to the past of each version without evidence against it.
func (s *State) updatePasts() {
	for id, own := range s.pending {
		row, found := s.rows[id]
		if found && row.Stopped == ReasonNone && row.evidence() < s.settings.HoldEvidence {
			row.Past.addToPast(own, s.settings)
		}
	}
	clear(s.pending)
}

// exposure returns the stopped versions and the shares of the versions under roll-out.
func (s *State) exposure() lavplan.Exposure {
	var exposure lavplan.Exposure
	for _, id := range s.ids() {
		row := s.rows[id]
		if row.Stopped != ReasonNone {
			exposure.Stopped = append(exposure.Stopped, id)
			continue
		}
		if row.State == lavconfig.VersionRollingOut {
			exposure.Shares = append(exposure.Shares, lavplan.VersionShare{Version: id, Share: row.Share})
		}
	}
	return exposure
}

func (s *State) ids() []lavid.VersionID {
	ids := make([]lavid.VersionID, 0, len(s.rows))
	for id := range s.rows {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
