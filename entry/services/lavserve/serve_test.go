package lavserve

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
	"lavenderswitch/core/modules/lavmetric"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavbill"
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/core/services/lavretry"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavattempt"
	"lavenderswitch/entry/services/lavfleet"
	"lavenderswitch/entry/services/lavpin"
	"lavenderswitch/entry/services/lavtrace"
	"lavenderswitch/wire/lavwire"
)

// fake implements every dependency of the service. Its replies are used in order, one for each attempt.
type fake struct {
	document   *lavconfig.Document
	replies    []reply
	attempts   []*lavwire.Attempt
	ledger     lavledger.Entry
	ledgerUp   bool
	pinned     lavid.VersionID
	pinQueries []lavpin.Query
	// pinnedDuringRating is the version to which another request pins the session while an answer is rated.
	pinnedDuringRating lavid.VersionID
	plan               lavplan.Plan
	ratings            []lavplan.Rating
	answered           []StageAnswer
	bills              *lavbill.Pending
	held               []*lavwire.Bill
	gateEntries        int
}

type reply struct {
	body   string
	status int
	result lavattempt.Result
}

func (f *fake) Document() *lavconfig.Document { return f.document }

func (f *fake) CatchUp(_ context.Context, _ string, number lavid.ConfigNumber) bool {
	withdrawn := *f.document
	withdrawn.Number = number
	withdrawn.Versions = map[lavid.VersionID]lavconfig.Version{"small": {State: lavconfig.VersionWithdrawn}, "large": {OutputPrice: 10}}
	f.document = &withdrawn
	f.plan = lavplan.Plan{Stages: []lavplan.Stage{{Version: "large"}}}
	return true
}

func (f *fake) Run(_ context.Context, _ string, attempt *lavwire.Attempt, sink lavrequest.Sink) (lavattempt.Result, error) {
	f.attempts = append(f.attempts, attempt)
	next := f.replies[0]
	f.replies = f.replies[1:]
	if next.body != "" {
		_ = sink.Head(lavrequest.Head{StatusCode: max(next.status, 200), Version: lavid.VersionID(attempt.GetVersionId())})
		_ = sink.Chunk([]byte(next.body))
	}
	return next.result, nil
}

func (f *fake) Attach(ctx context.Context, base string, attempt *lavwire.Attempt, sink lavrequest.Sink) (lavattempt.Result, error) {
	return f.Run(ctx, base, attempt, sink)
}

func (f *fake) Cancel(context.Context, string, *lavwire.Attempt) error { return nil }

func (f *fake) Resolve(_ context.Context, query lavpin.Query) (lavid.VersionID, bool) {
	f.pinQueries = append(f.pinQueries, query)
	if f.pinned == "" || f.pinned == query.Replaces {
		moved := f.pinned != ""
		f.pinned = query.Proposed
		return f.pinned, moved
	}
	return f.pinned, false
}

func (f *fake) Seal(context.Context, lavledger.Claim) (lavledger.StoredEntry, error) {
	if !f.ledgerUp {
		return lavledger.StoredEntry{}, lavplatform.ErrStoreUnavailable{Reason: "down"}
	}
	return lavledger.StoredEntry{Entry: f.ledger, NotRun: f.ledger.State == lavledger.StateSealed}, nil
}

func (f *fake) Choose(*lavconfig.Document, lavplan.Query, time.Time) (lavplan.Plan, bool) {
	return f.plan, true
}

func (f *fake) Rate(context.Context, *lavrequest.Request, lavevidence.Key, []byte) lavplan.Rating {
	next := f.ratings[0]
	f.ratings = f.ratings[1:]
	if f.pinned == "" {
		f.pinned = f.pinnedDuringRating
	}
	return next
}

func (f *fake) CanCheck(time.Time) bool { return true }

func (f *fake) Observe(_ *lavrequest.Request, answered StageAnswer) {
	f.answered = append(f.answered, answered)
}

func (f *fake) Failed(*lavrequest.Request, lavevidence.Key) {}

func (f *fake) Begin(*lavrequest.Request) (func(), error) { return func() {}, nil }

func (f *fake) Enter(context.Context, *lavrequest.Request, lavrequest.PoolKey, bool) (bool, error) {
	f.gateEntries++
	return false, nil
}

func (f *fake) Hold(_ context.Context, batch *lavwire.BillBatch) (*lavwire.BillAck, error) {
	f.held = append(f.held, batch.GetBills()...)
	return &lavwire.BillAck{}, nil
}

func newFake(replies ...reply) *fake {
	server := lavconfig.BackendServer{DataCentre: "d1", State: lavconfig.InService, Versions: []lavid.VersionID{"small", "large"}, MaxRunning: 4}
	claims := lavconfig.BackendServer{DataCentre: "d1", State: lavconfig.InService, Service: "claims", MaxRunning: 4}
	return &fake{
		replies:  replies,
		ledgerUp: true,
		bills:    lavbill.NewPending(10),
		plan:     lavplan.Plan{Stages: []lavplan.Stage{{Version: "small"}}},
		document: &lavconfig.Document{
			Number:         7,
			DataCentres:    map[lavid.DataCentreID]lavconfig.DataCentre{"d1": {State: lavconfig.InService}},
			Versions:       map[lavid.VersionID]lavconfig.Version{"small": {OutputPrice: 1}, "large": {OutputPrice: 10}},
			ClientAccounts: map[lavid.AccountID]lavconfig.ClientAccount{"a": {AllowedVersions: []lavid.VersionID{"small", "large"}}},
			BackendServers: map[lavid.BackendServerID]lavconfig.BackendServer{"s1": server, "s2": server, "c1": claims, "c2": claims},
		},
	}
}

func (f *fake) service() *Service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Service{
		Configs: f, Peers: f, Attempts: f, Sessions: f, Seals: f, Planner: f, Raters: f, Gate: f,
		Fleet: lavfleet.New("h1", "d1"), Bills: f.bills, Retries: lavretry.New(), Hedgers: NewHedgers(),
		Traces: lavtrace.NewRing(4), Metrics: lavmetric.NewSet(), Log: log,
		BillsClient: func(string) lavwire.Bills { return f },
	}
}

func chatRequest() *lavrequest.Request {
	now := time.Now()
	return &lavrequest.Request{ID: "r1", Account: "a", Idempotent: true, Body: []byte(`{"messages":[]}`), Arrived: now, Deadline: now.Add(time.Minute)}
}

func claimRequest() *lavrequest.Request {
	request := chatRequest()
	request.Service, request.Call, request.Idempotent = "claims", "submit", false
	return request
}

func refused(kind lavwire.RefusalKind, run lavwire.RunState) reply {
	return reply{result: lavattempt.Result{Refusal: &lavwire.Refusal{Kind: kind, RunState: run}}}
}

var (
	whole       = reply{body: "answer", result: lavattempt.Result{Usage: lavrequest.Usage{OutputTokens: 2}}}
	unreachable = reply{result: lavattempt.Result{Unreachable: true}}
	full        = refused(lavwire.RefusalKind_REFUSAL_KIND_SERVER_FULL, lavwire.RunState_RUN_STATE_NOT_RUN)
	broken      = refused(lavwire.RefusalKind_REFUSAL_KIND_BACKEND_FAILED, lavwire.RunState_RUN_STATE_IN_DOUBT)
	storeDown   = refused(lavwire.RefusalKind_REFUSAL_KIND_STORE_UNAVAILABLE, lavwire.RunState_RUN_STATE_NOT_RUN)
	running     = refused(lavwire.RefusalKind_REFUSAL_KIND_REQUEST_RUNNING, lavwire.RunState_RUN_STATE_IN_DOUBT)
)

func TestServeHandlesEveryAttemptOutcome(t *testing.T) {
	sealed := lavledger.Entry{State: lavledger.StateSealed}
	intent := lavledger.Entry{State: lavledger.StateIntent}
	finished := lavledger.Entry{State: lavledger.StateFinished, Answer: &lavledger.Answer{StatusCode: 200, Body: []byte("stored")}}
	tests := []struct {
		name     string
		request  *lavrequest.Request
		replies  []reply
		ledger   lavledger.Entry
		storeOut bool
		body     string
		run      laverror.RunState
		attempts int
		noRetry  bool
	}{
		{name: "idempotent request goes to another server after a failure", request: chatRequest(), replies: []reply{broken, whole}, body: "answer", attempts: 2},
		{name: "idempotent request goes to another server when the side process is unreachable", request: chatRequest(), replies: []reply{unreachable, whole}, body: "answer", attempts: 2},
		{name: "failed idempotent request is never reported as not run", request: chatRequest(), replies: []reply{broken, broken}, run: laverror.InDoubt, attempts: 2},
		{name: "call that was only refused is not run", request: claimRequest(), replies: []reply{
			refused(lavwire.RefusalKind_REFUSAL_KIND_SERVER_LEAVING, lavwire.RunState_RUN_STATE_NOT_RUN),
			refused(lavwire.RefusalKind_REFUSAL_KIND_STORE_UNAVAILABLE, lavwire.RunState_RUN_STATE_NOT_RUN),
		}, run: laverror.NotRun, attempts: 2},
		{name: "another body under the same idempotency key is refused at once", request: claimRequest(), replies: []reply{
			refused(lavwire.RefusalKind_REFUSAL_KIND_REQUEST_MISMATCH, lavwire.RunState_RUN_STATE_NOT_RUN),
		}, run: laverror.NotRun, attempts: 1, noRetry: true},
		{name: "settled call without an answer is reported as run", request: claimRequest(), replies: []reply{
			refused(lavwire.RefusalKind_REFUSAL_KIND_REQUEST_SETTLED, lavwire.RunState_RUN_STATE_RAN),
		}, run: laverror.Ran, attempts: 1, noRetry: true},
		{name: "store counts as down for all servers after two refusals", request: claimRequest(), replies: []reply{storeDown, storeDown}, run: laverror.NotRun, attempts: 2},
		{name: "call that may have run is not sent again", request: claimRequest(), replies: []reply{broken}, run: laverror.InDoubt, attempts: 1},
		{name: "lost call is sealed before another attempt", request: claimRequest(), replies: []reply{unreachable, whole}, ledger: sealed, body: "answer", attempts: 2},
		{name: "lost call with an intent stays in doubt", request: claimRequest(), replies: []reply{unreachable}, ledger: intent, run: laverror.InDoubt, attempts: 1},
		{name: "lost call that finished returns its stored answer", request: claimRequest(), replies: []reply{unreachable}, ledger: finished, body: "stored", attempts: 1},
		{name: "lost call stays in doubt while the store is down", request: claimRequest(), replies: []reply{unreachable}, storeOut: true, run: laverror.InDoubt, attempts: 1},
		{name: "running call without a holder address is in doubt", request: claimRequest(), replies: []reply{running}, run: laverror.InDoubt, attempts: 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFake(test.replies...)
			f.ledger, f.ledgerUp = test.ledger, !test.storeOut
			sink := &lavrequest.BufferedAnswer{}
			err := f.service().Serve(t.Context(), test.request, sink)
			is.Equal(len(f.attempts), test.attempts)
			is.Equal(string(sink.Body), test.body)
			if test.body == "" {
				is.Equal(laverror.As(err).Run, test.run)
				is.Equal(laverror.As(err).RetryAfter == 0, test.noRetry)
				is.Equal(f.bills.Len(), 0)
				return
			}
			is.NoErr(err)
			is.Equal(f.bills.Len(), 1)
		})
	}
}

func TestServeReentersQueueWhenEveryServerWasFull(t *testing.T) {
	is := is.New(t)
	f := newFake(full, full, whole)
	is.NoErr(f.service().Serve(t.Context(), chatRequest(), &lavrequest.BufferedAnswer{}))
	is.Equal(f.gateEntries, 2)
}

func TestServeReplansWhenSideReportsWithdrawnVersion(t *testing.T) {
	is := is.New(t)
	withdrawn := refused(lavwire.RefusalKind_REFUSAL_KIND_VERSION_WITHDRAWN, lavwire.RunState_RUN_STATE_NOT_RUN)
	withdrawn.result.Refusal.ConfigNumber = 8
	f := newFake(withdrawn, whole)
	f.pinned = "small"
	request := chatRequest()
	request.Session = "s"
	is.NoErr(f.service().Serve(t.Context(), request, &lavrequest.BufferedAnswer{}))
	is.Equal(f.attempts[1].GetVersionId(), "large")
	is.Equal(f.attempts[1].GetConfigNumber(), uint64(8))
	is.True(request.SessionMoved)
}

func TestServeBillsCascadeOnceWithItsTotalCost(t *testing.T) {
	is := is.New(t)
	f := newFake(whole, whole)
	f.plan = lavplan.Plan{Stages: []lavplan.Stage{{Version: "small", Checked: true}, {Version: "large"}}}
	f.ratings = []lavplan.Rating{lavplan.RatedRejected}
	is.NoErr(f.service().Serve(t.Context(), chatRequest(), &lavrequest.BufferedAnswer{}))
	is.Equal(f.attempts[0].GetBill(), false)
	is.Equal(f.attempts[1].GetPriorCostNanos(), int64(2))
	is.Equal(f.bills.Batch(9)[0].Cost, lavid.NanoUnits(22))
	is.Equal(f.answered[0].Delivered, false)
	is.Equal(f.answered[1].Key, lavevidence.Key{Version: "large", After: "small"})
	is.Equal(f.answered[1].Cost, lavid.NanoUnits(20))
	is.Equal(len(f.held), 0)
}

func TestServeDoesNotRateEngineRefusals(t *testing.T) {
	is := is.New(t)
	tooLong := reply{body: "prompt is too long", status: 400}
	f := newFake(tooLong, tooLong)
	f.plan = lavplan.Plan{Stages: []lavplan.Stage{{Version: "small", Checked: true}, {Version: "large"}}}
	sink := &lavrequest.BufferedAnswer{}
	is.NoErr(f.service().Serve(t.Context(), chatRequest(), sink))
	is.Equal(sink.AnswerHead.StatusCode, 400)
	is.Equal(len(f.answered), 0)
}

func TestServeSendsBillOfAcceptedCheckedStageToSide(t *testing.T) {
	is := is.New(t)
	f := newFake(whole)
	f.plan = lavplan.Plan{Stages: []lavplan.Stage{{Version: "small", Checked: true}, {Version: "large"}}}
	f.ratings = []lavplan.Rating{lavplan.RatedAccepted}
	is.NoErr(f.service().Serve(t.Context(), chatRequest(), &lavrequest.BufferedAnswer{}))
	is.Equal(f.bills.Batch(9)[0].Cost, lavid.NanoUnits(2))
	is.Equal(len(f.held), 1)
}

// pinSink records the session's pin at the time when the head of the answer arrives.
type pinSink struct {
	lavrequest.BufferedAnswer
	fake      *fake
	pinAtHead lavid.VersionID
}

func (s *pinSink) Head(head lavrequest.Head) error {
	s.pinAtHead = s.fake.pinned
	return s.BufferedAnswer.Head(head)
}

func TestServePinsSessionBeforeCascadeAnswerBegins(t *testing.T) {
	for _, rating := range []lavplan.Rating{lavplan.RatedAccepted, lavplan.RatedRejected} {
		t.Run(string(rating), func(t *testing.T) {
			is := is.New(t)
			f := newFake(whole, whole)
			f.plan = lavplan.Plan{Stages: []lavplan.Stage{{Version: "small", Checked: true}, {Version: "large"}}}
			f.ratings = []lavplan.Rating{rating}
			request := chatRequest()
			request.Session = "s"
			sink := &pinSink{fake: f}
			is.NoErr(f.service().Serve(t.Context(), request, sink))
			is.True(sink.pinAtHead != "")
			is.Equal(sink.pinAtHead, sink.AnswerHead.Version)
		})
	}
}

func TestServeHonoursPinSetWhileCascadeRan(t *testing.T) {
	for _, test := range []struct {
		pinned lavid.VersionID
		rating lavplan.Rating
	}{{"large", lavplan.RatedAccepted}, {"small", lavplan.RatedRejected}} {
		t.Run(string(test.rating), func(t *testing.T) {
			is := is.New(t)
			f := newFake(whole, whole)
			f.plan = lavplan.Plan{Stages: []lavplan.Stage{{Version: "small", Checked: true}, {Version: "large"}}}
			f.ratings = []lavplan.Rating{test.rating}
			f.pinnedDuringRating = test.pinned
			request := chatRequest()
			request.Session = "s"
			sink := &lavrequest.BufferedAnswer{}
			is.NoErr(f.service().Serve(t.Context(), request, sink))
			is.Equal(sink.AnswerHead.Version, test.pinned)
			is.Equal(f.pinned, test.pinned)
		})
	}
}

func TestServeKeepsSessionOnItsVersion(t *testing.T) {
	tests := []struct {
		name      string
		pinned    lavid.VersionID
		withdrawn bool
		version   string
		moved     bool
	}{
		{"new session takes the plan", "", false, "small", false},
		{"pinned session keeps its version", "large", false, "large", false},
		{"session leaves a withdrawn version and reports the move", "large", true, "small", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFake(whole)
			f.pinned = test.pinned
			if test.withdrawn {
				f.document.Versions["large"] = lavconfig.Version{State: lavconfig.VersionWithdrawn}
			}
			request := chatRequest()
			request.Session = "s"
			is.NoErr(f.service().Serve(t.Context(), request, &lavrequest.BufferedAnswer{}))
			is.Equal(f.attempts[0].GetVersionId(), test.version)
			is.Equal(string(f.pinned), test.version)
			is.Equal(request.SessionMoved, test.moved)
		})
	}
}
