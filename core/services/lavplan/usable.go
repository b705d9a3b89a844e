package lavplan

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// openVersions are the versions that a new session may use, cheapest first.
type eligibleVersions struct {
	serving    []lavid.VersionID
	rollingOut []lavid.VersionID
}

// Usable returns the versions that the query may use, cheapest first.
func Usable(document *lavconfig.Document, query Query) []lavid.VersionID {
	var usable []lavid.VersionID
	for _, id := range document.ClientAccounts[query.Account].AllowedVersions {
		version, ok := document.Versions[id]
		if !ok || version.State == lavconfig.VersionWithdrawn {
			continue
		}
		if query.Model != "" && version.Model != query.Model {
			continue
		}
		if query.Version != "" && id != query.Version {
			continue
		}
		if slices.Contains(query.Excluded, id) {
			continue
		}
		usable = append(usable, id)
	}
	slices.SortStableFunc(usable, func(a, b lavid.VersionID) int {
		return cmp.Compare(document.Versions[a].OutputPrice, document.Versions[b].OutputPrice)
	})
	return slices.Compact(usable)
}

// open returns the usable versions that are not stopped; a serving one that is stopped stays when nothing else is left.
func (s *State) eligible(document *lavconfig.Document, query Query) eligibleVersions {
	var eligible eligibleVersions
	var stopped []lavid.VersionID
	for _, id := range Usable(document, query) {
		rollingOut := document.Versions[id].State == lavconfig.VersionRollingOut
		switch {
		case s.exposure.stopped(id) && !rollingOut:
			stopped = append(stopped, id)
		case s.exposure.stopped(id):
		case rollingOut:
			eligible.rollingOut = append(eligible.rollingOut, id)
		default:
			eligible.serving = append(eligible.serving, id)
		}
	}
	if len(eligible.serving) == 0 && len(eligible.rollingOut) == 0 {
		eligible.serving = stopped
	}
	return eligible
}

// substitute gives versions under roll-out their share of the sessions of the version that they replace.
func (s *State) substituteRollOut(document *lavconfig.Document, plan Plan, eligible eligibleVersions, random *rand.Rand) Plan {
	position := lavid.Share(random.Float64())
	for _, id := range eligible.rollingOut {
		share := min(s.exposure.share(id), document.Versions[id].MaxShare)
		if position >= share {
			position -= share
			continue
		}
		return replaceStage(plan, document.Versions[id].Replaces, id)
	}
	return plan
}

func replaceStage(plan Plan, replaced, replacement lavid.VersionID) Plan {
	index := slices.IndexFunc(plan.Stages, func(stage Stage) bool { return stage.Version == replaced })
	if index < 0 {
		return plan
	}
	changed := plan
	changed.Stages = slices.Clone(plan.Stages)
	changed.Stages[index].Version = replacement
	changed.Reason = ReasonRollOut
	return changed
}

// Exposure is what the evidence on versions permits, as their owners decided.
type Exposure struct {
	// Stopped versions get no new sessions.
	Stopped []lavid.VersionID
	Shares  []VersionShare
}

// VersionShare is the part of new sessions that a version under roll-out may take now.
type VersionShare struct {
	Version lavid.VersionID
	Share   lavid.Share
}

func (e Exposure) stopped(id lavid.VersionID) bool {
	return slices.Contains(e.Stopped, id)
}

// share is zero for a version that no owner has decided on.
func (e Exposure) share(id lavid.VersionID) lavid.Share {
	for _, row := range e.Shares {
		if row.Version == id {
			return row.Share
		}
	}
	return 0
}
