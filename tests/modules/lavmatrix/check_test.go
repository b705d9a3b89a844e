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

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds int) time.Time { return began.Add(time.Duration(seconds) * time.Second) }

func truthOf(backend string, runs ...lavtruth.Run) facts {
	return facts{
		backends: map[string]lavtruth.Backend{backend: {Runs: runs}},
		accounts: map[lavid.RequestID]lavid.AccountID{"r": lavcluster.AccountOne},
	}
}

func points(found []Violation) []Point {
	var list []Point
	for _, one := range found {
		list = append(list, one.Point)
	}
	return list
}

// TestCheckerFindsEachBrokenGuarantee gives the checker one broken guarantee at a time.
func TestCheckerFindsEachBrokenGuarantee(t *testing.T) {
	for _, test := range []struct {
		name   string
		event  Event
		truth  facts
		broken []Point
	}{
		{"allowed version", Event{}, truthOf(lavcluster.Engine1, lavtruth.Run{Request: "r", Version: lavcluster.Version1}), []Point{AllowedVersion}},
		{
			"withdrawn version",
			Event{Kind: VersionWithdrawn, Name: "small-2", At: at(0)},
			truthOf(lavcluster.Engine1, lavtruth.Run{Request: "r", Version: lavcluster.Version2, Arrived: at(5)}),
			[]Point{Withdrawn},
		},
		{
			"withdrawn version in time",
			Event{Kind: VersionWithdrawn, Name: "small-2", At: at(0)},
			truthOf(lavcluster.Engine1, lavtruth.Run{Request: "r", Version: lavcluster.Version2, Arrived: at(4)}), nil,
		},
		{
			"data centre out",
			Event{Kind: DataCentreOut, Name: "dc-1", At: at(0)},
			truthOf(lavcluster.Claims1, lavtruth.Run{Request: "r", Arrived: at(5)}),
			[]Point{DataCentre},
		},
		{
			"leaving server",
			Event{Kind: ServerLeaving, Name: lavcluster.Claims1, At: at(0)},
			truthOf(lavcluster.Claims1, lavtruth.Run{Request: "r", Arrived: at(5)}),
			[]Point{Leaving},
		},
		{"bearable load", Event{}, truthOf(lavcluster.Engine1, lavtruth.Run{Request: "r", Running: 5, Capacity: 4}), []Point{BearableLoad}},
		{
			"at most once",
			Event{},
			truthOf(lavcluster.Claims1, lavtruth.Run{Request: "r", Path: "/submit"}, lavtruth.Run{Request: "r", Path: "/submit"}),
			[]Point{AtMostOnce},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := &Case{}
			c.AddEvent(test.event)
			is.Equal(points(c.checkRuns(test.truth)), test.broken)
		})
	}
}

func TestCheckerFindsFalseNotRun(t *testing.T) {
	is := is.New(t)
	c := &Case{}
	request := lavcluster.Request{ID: "r", Account: lavcluster.AccountOne, Kind: lavcluster.Submit}
	c.AddReply(lavcluster.Reply{Request: request, Sent: at(0), Status: 503, RunState: laverror.NotRun})
	c.AddReply(lavcluster.Reply{Request: request, Sent: at(10), Status: 200})
	late := truthOf(lavcluster.Claims1, lavtruth.Run{Request: "r", Arrived: at(9)})
	is.Equal(points(c.checkReplies(late)), []Point{TrueNotRun})
	second := truthOf(lavcluster.Claims1, lavtruth.Run{Request: "r", Arrived: at(11)})
	is.Equal(len(c.checkReplies(second)), 0)
}

func TestCheckerFindsBrokenAnswersAndCutShutdowns(t *testing.T) {
	is := is.New(t)
	c := &Case{}
	c.AddReply(lavcluster.Reply{Request: lavcluster.Request{ID: "r"}, Status: 200, Broken: true, Err: laverror.New(laverror.KindInternal, "cut", "")})
	c.MustNotCut("r")
	is.Equal(points(c.checkReplies(facts{})), []Point{WholeAnswer})
	is.Equal(points(c.checkGraceful()), []Point{GracefulShutdown})
}

func TestCheckerFindsMovedSessions(t *testing.T) {
	is := is.New(t)
	c := &Case{}
	request := lavcluster.Request{ID: "r", Session: "s"}
	c.AddReply(lavcluster.Reply{Request: request, Status: 200, Version: lavcluster.Version1})
	c.AddReply(lavcluster.Reply{Request: request, Status: 200, Version: lavcluster.Version2})
	is.Equal(points(c.checkSessions()), []Point{SessionVersion})
	c.AddEvent(Event{Kind: VersionWithdrawn, Name: string(lavcluster.Version1)})
	is.Equal(len(c.checkSessions()), 0)
}

func billOf(key string) lavplatform.Row {
	value, err := json.Marshal(billRow{Account: lavcluster.AccountOne, Request: "r"})
	if err != nil {
		panic(err)
	}
	return lavplatform.Row{Table: tableBill, Key: key, Value: value}
}

func TestCheckerFindsMissingAndDoubledBills(t *testing.T) {
	is := is.New(t)
	c := &Case{}
	c.AddReply(lavcluster.Reply{Request: lavcluster.Request{ID: "r", Account: lavcluster.AccountOne}, Status: 200})
	is.Equal(points(c.checkBills(lavtruth.Platform{})), []Point{BilledOnce})
	is.Equal(len(c.checkBills(lavtruth.Platform{Rows: []lavplatform.Row{billOf("a")}})), 0)
	is.Equal(points(c.checkBills(lavtruth.Platform{Rows: []lavplatform.Row{billOf("a"), billOf("b")}})), []Point{BilledOnce})
}

func TestCheckerFindsRevertedAndLateConfigurations(t *testing.T) {
	is := is.New(t)
	c := &Case{}
	c.AddNumber(Number{Host: lavcluster.Entry1, Start: 1, Number: 3, At: at(0)})
	c.AddNumber(Number{Host: lavcluster.Entry1, Start: 1, Number: 2, At: at(1)})
	is.Equal(points(c.checkConfig(lavtruth.Platform{})), []Point{ConfigInForce})
	c = &Case{}
	c.AddEvent(Event{Kind: ConfigAccepted, Number: 3, At: at(0)})
	c.AddNumber(Number{Host: lavcluster.Entry1, Start: 1, Number: 2, At: at(5)})
	is.Equal(points(c.checkConfig(lavtruth.Platform{})), []Point{ConfigInForce})
}

func TestPairsFollowFromTheSeed(t *testing.T) {
	is := is.New(t)
	first, second := RandomPairs(7, 20), RandomPairs(7, 20)
	for i := range first {
		is.Equal(CellName(first[i].Step, first[i].Fault), CellName(second[i].Step, second[i].Fault))
	}
	is.Equal(len(ChosenPairs()), 6)
}
