package lavplan

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// eligibleVersions are the versions that a new session may use, cheapest first.
type eligibleVersions struct {
	serving    []lavid.VersionID
	rollingOut []lavid.VersionID
}

// Usable returns the versions that the query may use, cheapest first. Stopped versions are included, since
// sessions pinned to them stay.
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

// eligible returns the usable versions that are not stopped. If none is left, it returns the stopped versions that are
// not under roll-out.
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

// substituteRollOut replaces a version by the version under roll-out that replaces it, for that version's share of
// requests.
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

// replaceStage returns the plan with one version replaced by another, or the plan itself if it lacks the version.
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

// Exposure holds the stopped versions and the roll-out shares. They are decided by the owner of each model, the host
// that pools the evidence on its versions.
type Exposure struct {
	// Stopped lists the versions that get no new sessions.
	Stopped []lavid.VersionID
	Shares  []VersionShare
}

// VersionShare is the share of new sessions that a version under roll-out may take.
type VersionShare struct {
	Version lavid.VersionID
	Share   lavid.Share
}

// stopped reports whether a version gets no new sessions.
func (e Exposure) stopped(id lavid.VersionID) bool {
	return slices.Contains(e.Stopped, id)
}

// share returns the share of a version, or zero if no owner has decided on it.
func (e Exposure) share(id lavid.VersionID) lavid.Share {
	for _, row := range e.Shares {
		if row.Version == id {
			return row.Share
		}
	}
	return 0
}
