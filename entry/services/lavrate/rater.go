package lavrate

import (
	"context"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavserve"
)

// Rater plans without evidence and rates nothing.
type Rater struct{}

// Choose returns the plan of a query.
func (Rater) Choose(document *lavconfig.Document, query lavplan.Query, now time.Time) (lavplan.Plan, bool) {
	return lavplan.Choose(document, query, now)
}

// Rate has no rating service to ask.
func (Rater) Rate(context.Context, *lavrequest.Request, lavid.VersionID, []byte) lavserve.Verdict {
	return lavserve.Unrated
}

// Observe keeps nothing.
func (Rater) Observe(*lavrequest.Request, lavid.VersionID, []byte, lavid.NanoUnits) {}

// Failed keeps nothing.
func (Rater) Failed(*lavrequest.Request, lavid.VersionID) {}
