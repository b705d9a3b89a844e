package lavexposure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/core/services/lavrollout"
	"lavenderswitch/core/services/lavspread"
	"lavenderswitch/wire/lavwire"
)

// systemAuthor is the author of the patches that withdraw stopped versions.
const systemAuthor = "system"

// Configs returns the newest configuration that this host has received, or nil before the first one.
type Configs interface {
	Document() *lavconfig.Document
}

// Patches submits configuration patches.
type Patches interface {
	Submit(ctx context.Context, patch lavspread.Patch) (lavspread.Receipt, error)
}

// Members lists the live entry hosts, including this one unless it is leaving.
type Members interface {
	Entries(now time.Time) []lavring.Member
}

// Owner pools the evidence on the models owned by this host. It implements lavwire.Evidence.
type Owner struct {
	Host    lavid.HostID
	Configs Configs
	Patches Patches
	Members Members
	Log     *logrus.Logger

	mu       sync.Mutex
	pooled   *lavevidence.Table
	rollouts *lavrollout.State
	exposure lavplan.Exposure
}

// NewOwner returns an owner without evidence. Its exported fields must be set before use.
func NewOwner() *Owner {
	return &Owner{
		pooled:   lavevidence.NewTable(lavevidence.DefaultSettings()),
		rollouts: lavrollout.NewState(lavrollout.DefaultSettings()),
	}
}

// Report merges the counts of a host and returns the pooled counts and the exposure of their model. A repeated
// report is counted once.
func (o *Owner) Report(_ context.Context, message *lavwire.EvidenceReport) (*lavwire.EvidenceState, error) {
	report := lavevidence.Report{
		Sender: lavid.HostID(message.GetSenderId() + "/" + message.GetModelId()),
		Number: message.GetReportNumber(),
		Counts: fromWire(message.GetCounts()),
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if len(report.Counts) > 0 && o.pooled.Merge(report, now) {
		for _, count := range report.Counts {
			o.rollouts.Observe(count)
		}
	}
	return o.state(lavid.ModelID(message.GetModelId()), now), nil
}

// state returns the pooled counts and the exposure of the versions of a model.
func (o *Owner) state(model lavid.ModelID, now time.Time) *lavwire.EvidenceState {
	document := o.Configs.Document()
	if document == nil {
		return &lavwire.EvidenceState{}
	}
	isOfModel := func(id lavid.VersionID) bool { return document.Versions[id].Model == model }
	var counts []lavevidence.Count
	for _, count := range o.pooled.Counts(now) {
		if isOfModel(count.Version) {
			counts = append(counts, count)
		}
	}
	state := &lavwire.EvidenceState{Totals: toWire(counts)}
	for _, id := range o.exposure.Stopped {
		if isOfModel(id) {
			state.StoppedVersionIds = append(state.StoppedVersionIds, string(id))
		}
	}
	for _, share := range o.exposure.Shares {
		if isOfModel(share.Version) {
			state.Shares = append(state.Shares, &lavwire.ExposureShare{VersionId: string(share.Version), Share: float64(share.Share)})
		}
	}
	return state
}

// Tick runs the tests and withdraws stopped versions whose first owner is this host.
func (o *Owner) Tick(ctx context.Context, now time.Time) {
	document := o.Configs.Document()
	if document == nil {
		return
	}
	o.mu.Lock()
	o.exposure = o.rollouts.Tick(document, now)
	stopped := o.owned(document, o.exposure.Stopped, now)
	o.mu.Unlock()
	if len(stopped) > 0 {
		o.withdraw(ctx, document, stopped)
	}
}

// owned returns the versions whose model has this host as its first owner.
func (o *Owner) owned(document *lavconfig.Document, versions []lavid.VersionID, now time.Time) []lavid.VersionID {
	members := o.Members.Entries(now)
	var owned []lavid.VersionID
	for _, id := range versions {
		owners := lavring.Owners(members, ownerKey(document.Versions[id].Model))
		if len(owners) > 0 && owners[0].ID == o.Host {
			owned = append(owned, id)
		}
	}
	return owned
}

// withdraw submits the patch that withdraws the stopped versions. After a failure, the next tick submits it again.
func (o *Owner) withdraw(ctx context.Context, document *lavconfig.Document, stopped []lavid.VersionID) {
	withdrawal, needed, err := lavrollout.NewWithdrawal(document, stopped)
	if err != nil || !needed {
		return
	}
	patch := lavspread.Patch{
		ID:         lavid.PatchID(fmt.Sprintf("withdraw-%s-%d", o.Host, withdrawal.Base)),
		Author:     systemAuthor,
		Base:       withdrawal.Base,
		Operations: withdrawal.Operations,
		Force:      true,
	}
	entry := o.Log.WithField("versions", withdrawal.Versions)
	_, err = o.Patches.Submit(ctx, patch)
	switch {
	case err == nil:
		entry.Warning("versions withdrawn because of failed or rejected answers")
	case laverror.Is(err, laverror.KindConflict):
		entry.Info("withdrawal conflicts with another patch; retrying on the next configuration")
	default:
		entry.WithError(err).Warning("withdrawal not confirmed; versions stay stopped for new sessions until a retry succeeds")
	}
}

// Dump returns the state of the tests, for the state dump.
func (o *Owner) Dump() lavrollout.Snapshot {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rollouts.Snapshot()
}

// ownerKey returns the key whose rendezvous hash determines the owners of a model's evidence.
func ownerKey(model lavid.ModelID) string {
	return "evidence/" + string(model)
}
