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

// systemAuthor names the patches that withdraw a stopped version.
const systemAuthor = "system"

// Configs gives the configuration in force here.
type Configs interface {
	Document() *lavconfig.Document
}

// Patches submits configurations.
type Patches interface {
	Submit(ctx context.Context, patch lavspread.Patch) (lavspread.Receipt, error)
}

// Members gives the live entry hosts, this one included.
type Members interface {
	Entries(now time.Time) []lavring.Member
}

// Owner pools the evidence on the models that this host owns; it serves lavwire.Evidence.
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

// NewOwner returns an owner without evidence; its exported fields are set before first use.
func NewOwner() *Owner {
	return &Owner{
		pooled:   lavevidence.NewTable(lavevidence.DefaultSettings()),
		rollouts: lavrollout.NewState(lavrollout.DefaultSettings()),
	}
}

// Report merges the counts of a host and returns the pooled state of their model.
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

// state returns what is known of the versions of a model.
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

// Tick runs the tests and withdraws the versions that they stop.
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

// owned returns the versions whose model this host is the first owner of.
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

// withdraw submits the patch that makes stops durable; a lost race is tried again at the next tick.
func (o *Owner) withdraw(ctx context.Context, document *lavconfig.Document, stopped []lavid.VersionID) {
	withdrawal, needed, err := lavrollout.Withdraw(document, stopped)
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
		entry.Warning("versions are withdrawn on the evidence of their answers")
	case laverror.Is(err, laverror.KindConflict):
		entry.Info("another patch came first; withdrawing against the next configuration")
	default:
		entry.WithError(err).Warning("withdrawal is not confirmed; new sessions stay away meanwhile")
	}
}

// Dump returns the state of the tests.
func (o *Owner) Dump() lavrollout.Snapshot {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rollouts.Snapshot()
}

func ownerKey(model lavid.ModelID) string {
	return "evidence/" + string(model)
}
