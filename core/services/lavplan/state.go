package lavplan

import (
	"slices"
	"strings"
	"sync"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
)

// Settings are the constants of planning.
type Settings struct {
	RatingErrors RatingErrors
	// CheckCost is the price of one rating.
	CheckCost lavid.NanoUnits
	// ExploreShare bounds the requests whose plan is chosen to learn.
	ExploreShare lavid.Share
	// KnownDeviation is the deviation below which a plan's quality counts as known.
	KnownDeviation float64
	// HalfLife is the time after which a request weighs half in the mix and the measured quality of an account.
	HalfLife time.Duration
	// Gain is how much of a measured miss of the target is made up for.
	Gain float64
	// MaxCorrection bounds what the aim differs from the target.
	MaxCorrection lavid.Quality
	// PooledWeight is the weight, in rated answers, of what all accounts see in what one account is expected to see.
	PooledWeight float64
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		ExploreShare:   0.02,
		KnownDeviation: 0.025,
		HalfLife:       10 * time.Minute,
		Gain:           5,
		MaxCorrection:  0.03,
		PooledWeight:   100,
	}
}

// shape is what queries of an account differ in as far as plans go.
type queryShape struct {
	model    lavid.ModelID
	version  lavid.VersionID
	class    lavid.TaskClass
	canCheck bool
	// excluded joins the excluded versions in order.
	excluded string
}

// idSeparator joins ids; no id contains it.
const idSeparator = "\x00"

type candidateKey struct {
	account lavid.AccountID
	number  lavid.ConfigNumber
	shape   queryShape
}

// State is what planning at one host remembers; it may be lost at any time.
type State struct {
	Evidence *lavevidence.Table

	mu            sync.Mutex
	settings      Settings
	exposure      Exposure
	accounts      map[lavid.AccountID]*accountState
	candidateSets map[candidateKey]candidateSet
	// estimates holds what was read from Evidence since the last tick.
	estimates map[lavevidence.Key]lavevidence.Estimate
}

// NewState returns a state that knows the configuration only.
func NewState(settings Settings, evidence *lavevidence.Table) *State {
	return &State{
		Evidence:      evidence,
		settings:      settings,
		accounts:      make(map[lavid.AccountID]*accountState),
		candidateSets: make(map[candidateKey]candidateSet),
		estimates:     make(map[lavevidence.Key]lavevidence.Estimate),
	}
}

// SetExposure replaces what the owners of versions decided.
func (s *State) SetExposure(exposure Exposure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exposure = exposure
	clear(s.candidateSets)
}

// candidates returns the plans open to a query, worked out once per tick.
func (s *State) candidates(document *lavconfig.Document, query Query, eligible eligibleVersions, now time.Time) candidateSet {
	key := candidateKey{account: query.Account, number: document.Number, shape: query.shape()}
	found, ok := s.candidateSets[key]
	if !ok {
		found = s.buildCandidates(document, query, eligible, now)
		s.candidateSets[key] = found
	}
	return found
}

// estimate reads the evidence on a key once per tick.
func (s *State) estimate(document *lavconfig.Document, key lavevidence.Key, now time.Time) lavevidence.Estimate {
	found, ok := s.estimates[key]
	if !ok {
		found = s.Evidence.Estimate(document, key, now)
		s.estimates[key] = found
	}
	return found
}

func (q Query) shape() queryShape {
	return queryShape{model: q.Model, version: q.Version, class: q.Class, canCheck: q.CanCheck, excluded: joinIDs(q.Excluded)}
}

func joinIDs(ids []lavid.VersionID) string {
	if len(ids) == 0 {
		return ""
	}
	names := make([]string, 0, len(ids))
	for _, id := range ids {
		names = append(names, string(id))
	}
	slices.Sort(names)
	return strings.Join(slices.Compact(names), idSeparator)
}

func (s queryShape) query(account lavid.AccountID) Query {
	return Query{Account: account, Model: s.model, Version: s.version, Class: s.class, CanCheck: s.canCheck, Excluded: s.excludedIDs()}
}

func (s queryShape) excludedIDs() []lavid.VersionID {
	if s.excluded == "" {
		return nil
	}
	var ids []lavid.VersionID
	for name := range strings.SplitSeq(s.excluded, idSeparator) {
		ids = append(ids, lavid.VersionID(name))
	}
	return ids
}
