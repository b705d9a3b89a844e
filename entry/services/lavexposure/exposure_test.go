package lavexposure

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/core/services/lavspread"
)

// fakeHost provides the configuration, the patches and the members to a host under test.
type fakeHost struct {
	document *lavconfig.Document
	patches  []lavspread.Patch
	conflict bool
	members  []lavring.Member
}

func (f *fakeHost) Document() *lavconfig.Document { return f.document }

func (f *fakeHost) Submit(_ context.Context, patch lavspread.Patch) (lavspread.Receipt, error) {
	f.patches = append(f.patches, patch)
	if f.conflict {
		return lavspread.Receipt{}, laverror.New(laverror.KindConflict, "another patch was accepted", "read the configuration")
	}
	return lavspread.Receipt{}, nil
}

func (f *fakeHost) Entries(time.Time) []lavring.Member { return f.members }

func newFakeHost() *fakeHost {
	return &fakeHost{
		members: []lavring.Member{{ID: "h1", DataCentre: "d1"}},
		document: &lavconfig.Document{Number: 4, Versions: map[lavid.VersionID]lavconfig.Version{
			"old": {Model: "m", State: lavconfig.VersionServing, ExpectedQuality: 0.9},
			"new": {Model: "m", State: lavconfig.VersionRollingOut, Replaces: "old", MaxShare: 0.5, ExpectedQuality: 0.9},
		}},
	}
}

func newReporter(f *fakeHost) *Reporter {
	log := logrus.New()
	log.SetOutput(io.Discard)
	owner := NewOwner()
	owner.Host, owner.Configs, owner.Patches, owner.Members, owner.Log = "h1", f, f, f, log
	plans := lavplan.NewState(lavplan.DefaultSettings(), lavevidence.NewTable(lavevidence.DefaultSettings()))
	return &Reporter{Host: "h1", Configs: f, Members: f, Plans: plans, Local: owner, Log: log}
}

// addAnswers counts one rated answer of each version; that of "new" is rejected unless good is set.
func addAnswers(r *Reporter, f *fakeHost, good bool, now time.Time) {
	for _, version := range []lavid.VersionID{"old", "new"} {
		counts := lavevidence.Counts{Answers: 1, Rated: 1, Accepted: 1}
		if version == "new" && !good {
			counts.Accepted = 0
		}
		r.Add(f.document, lavevidence.Count{Key: lavevidence.Key{Version: version}, Counts: counts}, now)
	}
}

// runReporter feeds 200 rounds of answers to a host that owns the model, with a report after each.
func runReporter(t *testing.T, f *fakeHost, good bool) *Reporter {
	t.Helper()
	reporter := newReporter(f)
	now := time.Now()
	for range 200 {
		addAnswers(reporter, f, good, now)
		reporter.Tick(t.Context(), now)
		now = now.Add(reportInterval)
	}
	reporter.Tick(t.Context(), now)
	return reporter
}

// TestBadVersionIsStoppedAndWithdrawn guards against a version that stays in use although its answers are rejected.
func TestBadVersionIsStoppedAndWithdrawn(t *testing.T) {
	is := is.New(t)
	f := newFakeHost()
	reporter := runReporter(t, f, false)
	is.Equal(reporter.combinedExposure().Stopped, []lavid.VersionID{"new"})
	is.True(len(f.patches) > 0)
	is.Equal(f.patches[0].Base, lavid.ConfigNumber(4))
	is.Equal(f.patches[0].Author, systemAuthor)
}

// TestWithdrawalIsSubmittedAgainAfterAConflict guards against a stopped version that stays in the configuration because
// another patch was accepted first.
func TestWithdrawalIsSubmittedAgainAfterAConflict(t *testing.T) {
	is := is.New(t)
	f := newFakeHost()
	f.conflict = true
	runReporter(t, f, false)
	is.True(len(f.patches) > 1)
}

// TestOnlyTheFirstOwnerWithdraws guards against several owners submitting the same withdrawal.
func TestOnlyTheFirstOwnerWithdraws(t *testing.T) {
	is := is.New(t)
	f := newFakeHost()
	reporter := runReporter(t, f, false)
	f.members = []lavring.Member{{ID: "h2", DataCentre: "d1"}}
	before := len(f.patches)
	reporter.Local.Tick(t.Context(), time.Now())
	is.Equal(len(f.patches), before)
}

// TestGoodVersionIsNotStoppedAndItsShareGrows guards against a good version that is stopped, whose share stays small, or
// whose share exceeds its maximum.
func TestGoodVersionIsNotStoppedAndItsShareGrows(t *testing.T) {
	is := is.New(t)
	f := newFakeHost()
	reporter := runReporter(t, f, true)
	is.Equal(len(f.patches), 0)
	is.Equal(len(reporter.combinedExposure().Stopped), 0)
	share := reporter.combinedExposure().Shares[0].Share
	is.True(share > 0.01)
	is.True(share <= 0.5)
}

// TestRepeatedReportCountsOnce guards against answers counted several times when a report is sent again because
// its answer was lost.
func TestRepeatedReportCountsOnce(t *testing.T) {
	is := is.New(t)
	f := newFakeHost()
	reporter := newReporter(f)
	now := time.Now()
	addAnswers(reporter, f, true, now)
	message, due := reporter.nextReport("m", now)
	is.True(due)
	for range 2 {
		_, err := reporter.Local.Report(t.Context(), message)
		is.NoErr(err)
	}
	state, err := reporter.Local.Report(t.Context(), message)
	is.NoErr(err)
	is.True(state.GetTotals()[0].GetAnswers() <= 1)
}
