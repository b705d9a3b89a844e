package lavplan

import (
	"cmp"
	"slices"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// Stage is one version to be tried; its answer is rated before the next stage when Checked.
type Stage struct {
	Version lavid.VersionID
	Checked bool
}

// Plan lists the stages of a request, first to last.
type Plan struct {
	Stages []Stage
}

// Query is what the plan depends on.
type Query struct {
	Account lavid.AccountID
	// Model limits the plan to one model; empty leaves the choice open.
	Model lavid.ModelID
	// Version limits the plan to one version; empty leaves the choice open.
	Version lavid.VersionID
	Class   lavid.TaskClass
}

// Choose returns the cheapest allowed version that meets the account's quality target.
func Choose(document *lavconfig.Document, query Query, _ time.Time) (Plan, bool) {
	account := document.ClientAccounts[query.Account]
	usable := Usable(document, query)
	if len(usable) == 0 {
		return Plan{}, false
	}
	for _, id := range usable {
		if document.Versions[id].ExpectedQuality >= account.QualityTarget {
			return Plan{Stages: []Stage{{Version: id}}}, true
		}
	}
	best := slices.MaxFunc(usable, func(a, b lavid.VersionID) int {
		return cmp.Compare(document.Versions[a].ExpectedQuality, document.Versions[b].ExpectedQuality)
	})
	return Plan{Stages: []Stage{{Version: best}}}, true
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
		usable = append(usable, id)
	}
	slices.SortStableFunc(usable, func(a, b lavid.VersionID) int {
		return cmp.Compare(document.Versions[a].OutputPrice, document.Versions[b].OutputPrice)
	})
	return usable
}
