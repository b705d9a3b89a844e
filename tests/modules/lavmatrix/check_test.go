package lavmatrix

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/tests/modules/lavcluster"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func atSecond(seconds int) time.Time { return testStart.Add(time.Duration(seconds) * time.Second) }

// groundTruthOf returns ground truth in which one backend server has the given runs and request r belongs to
// AccountOneVersion.
func groundTruthOf(backend string, runs ...lavtruth.Run) groundTruth {
	return groundTruth{
		backends: map[string]lavtruth.Backend{backend: {Runs: runs}},
		accounts: map[lavid.RequestID]lavid.AccountID{"r": lavcluster.AccountOneVersion},
	}
}

// guarantees returns the guarantee of each violation.
func guarantees(violations []Violation) []Guarantee {
	var list []Guarantee
	for _, violation := range violations {
		list = append(list, violation.Guarantee)
	}
	return list
}

// TestCheckerFindsEachViolatedGuarantee guards against a checker that overlooks violations. Each case holds ground truth
// and an event that violate one guarantee; one case stays within the time limit and must pass.
func TestCheckerFindsEachViolatedGuarantee(t *testing.T) {
	for _, test := range []struct {
		name     string
		event    Event
		truth    groundTruth
		violated []Guarantee
	}{
		{"allowed version", Event{}, groundTruthOf(lavcluster.Engine1, lavtruth.Run{Request: "r", Version: lavcluster.Version1}), []Guarantee{AllowedVersion}},
		{
			"withdrawn version",
			Event{Kind: VersionWithdrawn, Name: "small-2", At: atSecond(0)},
			groundTruthOf(lavcluster.Engine1, lavtruth.Run{Request: "r", Version: lavcluster.Version2, Arrived: atSecond(5)}),
			[]Guarantee{WithdrawnVersion},
		},
		{
			"withdrawn version in time",
			Event{Kind: VersionWithdrawn, Name: "small-2", At: atSecond(0)},
			groundTruthOf(lavcluster.Engine1, lavtruth.Run{Request: "r", Version: lavcluster.Version2, Arrived: atSecond(4)}), nil,
		},
		{
			"data centre out",
			Event{Kind: DataCentreOut, Name: "dc-1", At: atSecond(0)},
			groundTruthOf(lavcluster.Claims1, lavtruth.Run{Request: "r", Arrived: atSecond(5)}),
			[]Guarantee{EvacuatedDataCentre},
		},
		{
			"leaving server",
			Event{Kind: ServerLeaving, Name: lavcluster.Claims1, At: atSecond(0)},
			groundTruthOf(lavcluster.Claims1, lavtruth.Run{Request: "r", Arrived: atSecond(5)}),
			[]Guarantee{LeavingServer},
		},
		{"bearable load", Event{}, groundTruthOf(lavcluster.Engine1, lavtruth.Run{Request: "r", Running: 5, Capacity: 4}), []Guarantee{LoadWithinCapacity}},
		{
			"at most once",
			Event{},
			groundTruthOf(lavcluster.Claims1, lavtruth.Run{Request: "r", Path: "/submit"}, lavtruth.Run{Request: "r", Path: "/submit"}),
			[]Guarantee{AtMostOnce},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := &Case{}
			c.AddEvent(test.event)
			is.Equal(guarantees(c.checkRuns(test.truth)), test.violated)
		})
	}
}

// TestCheckerFindsFalseNotRun guards against a checker that accepts the run state not_run although the request ran before
// the caller's next attempt. A run after that attempt belongs to the attempt and is allowed.
func TestCheckerFindsFalseNotRun(t *testing.T) {
	is := is.New(t)
	c := &Case{}
	request := lavcluster.Request{ID: "r", Account: lavcluster.AccountOneVersion, Kind: lavcluster.Submit}
	c.AddReply(lavcluster.Reply{Request: request, Sent: atSecond(0), Status: 503, RunState: laverror.NotRun})
	c.AddReply(lavcluster.Reply{Request: request, Sent: atSecond(10), Status: 200})
	late := groundTruthOf(lavcluster.Claims1, lavtruth.Run{Request: "r", Arrived: atSecond(9)})
	is.Equal(guarantees(c.checkReplies(late)), []Guarantee{TruthfulNotRun})
	second := groundTruthOf(lavcluster.Claims1, lavtruth.Run{Request: "r", Arrived: atSecond(11)})
	is.Equal(len(c.checkReplies(second)), 0)
}

// TestCheckerFindsCorruptAnswersAndInterruptedShutdowns guards against a checker that overlooks a corrupt answer, or one
// that a graceful shutdown interrupted.
func TestCheckerFindsCorruptAnswersAndInterruptedShutdowns(t *testing.T) {
	is := is.New(t)
	c := &Case{}
	c.AddReply(lavcluster.Reply{Request: lavcluster.Request{ID: "r"}, Status: 200, Corrupt: true, Err: laverror.New(laverror.KindInternal, "cut", "")})
	c.ExpectComplete("r")
	is.Equal(guarantees(c.checkReplies(groundTruth{})), []Guarantee{CompleteAnswer})
	is.Equal(guarantees(c.checkShutdowns()), []Guarantee{GracefulShutdown})
}

// TestCheckerFindsSessionsThatChangeVersion guards against a checker that overlooks a session whose answers come from two
// versions. A change after the withdrawal of the first version is allowed.
func TestCheckerFindsSessionsThatChangeVersion(t *testing.T) {
	is := is.New(t)
	c := &Case{}
	request := lavcluster.Request{ID: "r", Session: "s"}
	c.AddReply(lavcluster.Reply{Request: request, Status: 200, Version: lavcluster.Version1})
	c.AddReply(lavcluster.Reply{Request: request, Status: 200, Version: lavcluster.Version2})
	is.Equal(guarantees(c.checkSessions()), []Guarantee{SessionVersion})
	c.AddEvent(Event{Kind: VersionWithdrawn, Name: string(lavcluster.Version1)})
	is.Equal(len(c.checkSessions()), 0)
}

// billRowOf returns a stored bill of request r under the given key.
func billRowOf(key string) lavplatform.Row {
	value, err := json.Marshal(billRow{Account: lavcluster.AccountOneVersion, Request: "r"})
	if err != nil {
		panic(err)
	}
	return lavplatform.Row{Table: tableBill, Key: key, Value: value}
}

// TestCheckerFindsMissingAndDuplicateBills guards against a checker that overlooks an answered request
// with no bill or two.
func TestCheckerFindsMissingAndDuplicateBills(t *testing.T) {
	is := is.New(t)
	c := &Case{}
	c.AddReply(lavcluster.Reply{Request: lavcluster.Request{ID: "r", Account: lavcluster.AccountOneVersion}, Status: 200})
	is.Equal(guarantees(c.checkBills(lavtruth.Platform{})), []Guarantee{BilledOnce})
	is.Equal(len(c.checkBills(lavtruth.Platform{Rows: []lavplatform.Row{billRowOf("a")}})), 0)
	is.Equal(guarantees(c.checkBills(lavtruth.Platform{Rows: []lavplatform.Row{billRowOf("a"), billRowOf("b")}})), []Guarantee{BilledOnce})
}

// TestCheckerFindsRevertedAndLateConfigurations guards against a checker that overlooks a configuration number that
// decreases, or a number that is still old when propagationLimit has passed.
func TestCheckerFindsRevertedAndLateConfigurations(t *testing.T) {
	is := is.New(t)
	c := &Case{}
	c.AddReading(ConfigReading{Host: lavcluster.Entry1, Start: 1, Number: 3, At: atSecond(0)})
	c.AddReading(ConfigReading{Host: lavcluster.Entry1, Start: 1, Number: 2, At: atSecond(1)})
	is.Equal(guarantees(c.checkConfig(lavtruth.Platform{})), []Guarantee{ConfigPropagation})
	c = &Case{}
	c.AddEvent(Event{Kind: ConfigAccepted, Number: 3, At: atSecond(0)})
	c.AddReading(ConfigReading{Host: lavcluster.Entry1, Start: 1, Number: 2, At: atSecond(5)})
	is.Equal(guarantees(c.checkConfig(lavtruth.Platform{})), []Guarantee{ConfigPropagation})
}

// TestRandomPairsAreDeterminedBySeed guards against schedules that cannot be reproduced from the printed seed.
func TestRandomPairsAreDeterminedBySeed(t *testing.T) {
	is := is.New(t)
	first, second := RandomPairs(7, 20), RandomPairs(7, 20)
	for i := range first {
		is.Equal(CellName(first[i].Step, first[i].Fault), CellName(second[i].Step, second[i].Fault))
	}
	is.Equal(len(ChosenPairs()), 6)
}
