package lavexposure

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/wire/lavwire"
)

const (
	// reportInterval is the interval between two reports of a model while there are few hosts.
	reportInterval = 500 * time.Millisecond
	// idleInterval is the interval between two reports of a model without new counts.
	idleInterval = 4 * time.Second
	// reportTimeout limits the call to one owner.
	reportTimeout = time.Second
)

// Reporter reports this host's counts to the owners of the models and applies their decisions.
type Reporter struct {
	lavlife.DoneSignal
	Host    lavid.HostID
	Configs Configs
	Members Members
	Plans   *lavplan.State
	Local   *Owner
	HTTP    *http.Client
	// Scheme precedes the address of a peer, such as "http://".
	Scheme string
	Log    *logrus.Logger

	mu     sync.Mutex
	models map[lavid.ModelID]*modelState
}

// modelState holds the counts to report on one model and its owner's latest decisions.
type modelState struct {
	collector *lavevidence.Collector
	// sent is the time of the latest report; zero before the first.
	sent     time.Time
	exposure lavplan.Exposure
}

// Add adds the counts of an answer or of a late rating.
func (r *Reporter) Add(document *lavconfig.Document, count lavevidence.Count, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.model(document.Versions[count.Version].Model, now).collector.Add(count)
}

// model returns the state of a model, and creates it if needed; the caller holds the lock.
func (r *Reporter) model(id lavid.ModelID, now time.Time) *modelState {
	if r.models == nil {
		r.models = make(map[lavid.ModelID]*modelState)
	}
	row, ok := r.models[id]
	if !ok {
		row = &modelState{collector: lavevidence.NewCollector(uint64(now.UnixNano()))}
		r.models[id] = row
	}
	return row
}

// Run reports counts and runs the local owner's tests until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	defer r.Finish()
	for lavlife.Pause(ctx, r.interval(time.Now())) {
		r.Tick(ctx, time.Now())
	}
}

// interval returns the time between two ticks. It grows with the number of entry hosts, each of which then has a
// smaller share of the answers to report.
func (r *Reporter) interval(now time.Time) time.Duration {
	return lavlife.SharedInterval(reportInterval, len(r.Members.Entries(now)))
}

// Tick reports each model with new counts, and each model that was not reported for idleInterval. It also runs the
// local owner's tests and recomputes the multipliers of the plans.
func (r *Reporter) Tick(ctx context.Context, now time.Time) {
	document := r.Configs.Document()
	if document == nil {
		return
	}
	r.Local.Tick(ctx, now)
	members := r.Members.Entries(now)
	for _, model := range modelsOf(document) {
		if message, due := r.nextReport(model, now); due {
			r.report(ctx, members, model, message)
		}
	}
	r.Plans.SetExposure(r.combinedExposure())
	r.Plans.Tick(document, now)
}

// modelsOf returns the models of a configuration in order.
func modelsOf(document *lavconfig.Document) []lavid.ModelID {
	var models []lavid.ModelID
	for _, version := range document.Versions {
		models = append(models, version.Model)
	}
	slices.Sort(models)
	return slices.Compact(models)
}

// nextReport returns the report to send on a model now, or false if none is due.
func (r *Reporter) nextReport(model lavid.ModelID, now time.Time) (*lavwire.EvidenceReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.model(model, now)
	message := &lavwire.EvidenceReport{SenderId: string(r.Host), ModelId: string(model)}
	report, found := row.collector.Next(r.Host)
	if !found && now.Sub(row.sent) < idleInterval {
		return nil, false
	}
	row.sent = now
	if found {
		message.ReportNumber = report.Number
		message.Counts = toWire(report.Counts)
	}
	return message, true
}

// report sends a report to the owners in turn until one accepts it. Without an answer, the collector keeps the
// counts for the next report.
func (r *Reporter) report(ctx context.Context, members []lavring.Member, model lavid.ModelID, message *lavwire.EvidenceReport) {
	for _, owner := range lavring.Owners(members, ownerKey(model)) {
		reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		state, err := r.client(owner).Report(reportCtx, message)
		cancel()
		if err == nil {
			r.applyState(model, message.GetReportNumber(), state, time.Now())
			return
		}
		r.Log.WithError(err).WithField(lavlog.FieldPeer, owner.ID).Warning("owner did not accept the evidence report; trying the next owner")
	}
}

// client returns the client for an owner, or the local owner.
func (r *Reporter) client(owner lavring.Member) lavwire.Evidence {
	if owner.ID == r.Host {
		return r.Local
	}
	return lavwire.NewEvidenceProtobufClient(r.Scheme+owner.Address, r.HTTP)
}

// applyState applies an owner's answer to a report and confirms the report with the number, which is zero for a report
// without counts.
func (r *Reporter) applyState(model lavid.ModelID, number uint64, state *lavwire.EvidenceState, now time.Time) {
	r.Plans.Evidence.ReplaceCounts(fromWire(state.GetTotals()), now)
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.model(model, now)
	if number > 0 {
		row.collector.Confirm(number)
	}
	row.exposure = lavplan.Exposure{}
	for _, id := range state.GetStoppedVersionIds() {
		row.exposure.Stopped = append(row.exposure.Stopped, lavid.VersionID(id))
	}
	for _, share := range state.GetShares() {
		row.exposure.Shares = append(row.exposure.Shares, lavplan.VersionShare{Version: lavid.VersionID(share.GetVersionId()), Share: lavid.Share(share.GetShare())})
	}
}

// combinedExposure combines the latest decisions of the owners of all models.
func (r *Reporter) combinedExposure() lavplan.Exposure {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all lavplan.Exposure
	for _, row := range r.models {
		all.Stopped = append(all.Stopped, row.exposure.Stopped...)
		all.Shares = append(all.Shares, row.exposure.Shares...)
	}
	return all
}
