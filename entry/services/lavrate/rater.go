package lavrate

import (
	"context"
	"math/rand/v2"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavserve"
)

// Rater plans on what this host knows of the versions.
type Rater struct {
	Plans *lavplan.State
}

// Choose returns the plan of a query.
func (r *Rater) Choose(document *lavconfig.Document, query lavplan.Query, now time.Time) (lavplan.Plan, bool) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return lavplan.Choose(document, r.Plans, query, random, now)
}

// Rate has no rating service to ask.
func (r *Rater) Rate(context.Context, *lavrequest.Request, lavid.VersionID, []byte) lavserve.Verdict {
	return lavserve.Unrated
}

// CanCheck says that no rating comes in time.
func (r *Rater) CanCheck(time.Time) bool {
	return false
}

// Observe keeps nothing.
func (r *Rater) Observe(*lavrequest.Request, lavid.VersionID, []byte, lavid.NanoUnits) {}

// Failed keeps nothing.
func (r *Rater) Failed(*lavrequest.Request, lavid.VersionID) {}
