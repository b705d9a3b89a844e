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

// Settings are the parameters of planning.
type Settings struct {
	RatingErrors RatingErrors
	// CheckCost is the cost of one rating.
	CheckCost lavid.NanoUnits
	// ExploreShare is the highest share of requests whose plan is chosen for exploration.
	ExploreShare lavid.Share
	// MinExploreDeviation is the standard deviation of the expected quality above which a plan may be explored.
	MinExploreDeviation float64
	// HalfLife is the time after which a request counts half in the mix and in the measured quality of its account.
	HalfLife time.Duration
	// Gain multiplies the difference between target and measured quality when the target is corrected.
	Gain float64
	// MaxCorrection is the largest correction of a target, up or down.
	MaxCorrection lavid.Quality
	// PooledWeight is the weight, in rated answers, of the acceptance pooled over all accounts in the acceptance
	// expected for one account.
	PooledWeight float64
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		ExploreShare:        0.02,
		MinExploreDeviation: 0.025,
		HalfLife:            10 * time.Minute,
		Gain:                5,
		MaxCorrection:       0.03,
		PooledWeight:        100,
	}
}

// queryShape holds the fields of a query that its candidate plans depend on, besides the account.
type queryShape struct {
	model    lavid.ModelID
	version  lavid.VersionID
	class    lavid.TaskClass
	canCheck bool
	// excluded holds the excluded versions, sorted and joined by idSeparator.
	excluded string
}

// idSeparator separates joined ids; no id contains it.
const idSeparator = "\x00"

// candidateKey identifies a cached candidate set.
type candidateKey struct {
	account lavid.AccountID
	number  lavid.ConfigNumber
	shape   queryShape
}

// State is the planning state of one host. It is kept in memory only and is rebuilt after a restart.
type State struct {
	Evidence *lavevidence.Table

	mu            sync.Mutex
	settings      Settings
	exposure      Exposure
	accounts      map[lavid.AccountID]*accountState
	candidateSets map[candidateKey]candidateSet
	// estimates caches what was read from Evidence since the last tick.
	estimates map[lavevidence.Key]lavevidence.Estimate
}

// NewState returns a state without observations of any account.
func NewState(settings Settings, evidence *lavevidence.Table) *State {
	return &State{
		Evidence:      evidence,
		settings:      settings,
		accounts:      make(map[lavid.AccountID]*accountState),
		candidateSets: make(map[candidateKey]candidateSet),
		estimates:     make(map[lavevidence.Key]lavevidence.Estimate),
	}
}

// SetExposure replaces the exposure decided by the owners of the models.
func (s *State) SetExposure(exposure Exposure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exposure = exposure
	clear(s.candidateSets)
}

// candidates returns the candidate plans of a query; they are computed once per tick, account and query shape.
func (s *State) candidates(document *lavconfig.Document, query Query, eligible eligibleVersions, now time.Time) candidateSet {
	key := candidateKey{account: query.Account, number: document.Number, shape: query.shape()}
	found, ok := s.candidateSets[key]
	if !ok {
		found = s.buildCandidates(document, query, eligible, now)
		s.candidateSets[key] = found
	}
	return found
}

// estimate returns the estimate of a key; it is read from Evidence once per tick.
func (s *State) estimate(document *lavconfig.Document, key lavevidence.Key, now time.Time) lavevidence.Estimate {
	found, ok := s.estimates[key]
	if !ok {
		found = s.Evidence.Estimate(document, key, now)
		s.estimates[key] = found
	}
	return found
}

// shape returns the shape of the query.
func (q Query) shape() queryShape {
	return queryShape{model: q.Model, version: q.Version, class: q.Class, canCheck: q.CanCheck, excluded: joinIDs(q.Excluded)}
}

// joinIDs joins distinct ids in sorted order.
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

// query returns a query of the shape for an account.
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
