package lavpin

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavsession"
	"lavenderswitch/wire/lavwire"
)

// fakeRows is a table in memory that can be down.
type fakeRows struct {
	rows map[string]lavplatform.Row
	down bool
}

func (f *fakeRows) Get(_ context.Context, table, key string) (lavplatform.Row, error) {
	if f.down {
		return lavplatform.Row{}, lavplatform.ErrStoreUnavailable{Reason: "down"}
	}
	row, ok := f.rows[key]
	if !ok {
		return row, lavplatform.ErrRowNotExist{Table: table, Key: key}
	}
	return row, nil
}

func (f *fakeRows) Insert(_ context.Context, insert lavplatform.Insert) (lavplatform.WriteResult, error) {
	if f.down {
		return lavplatform.WriteResult{}, lavplatform.ErrStoreUnavailable{Reason: "down"}
	}
	if row, ok := f.rows[insert.Key]; ok {
		return lavplatform.WriteResult{Won: row.Writer == insert.Writer, Row: row}, nil
	}
	row := lavplatform.Row{Key: insert.Key, Revision: 1, Writer: insert.Writer, Value: insert.Value}
	f.rows[insert.Key] = row
	return lavplatform.WriteResult{Won: true, Row: row}, nil
}

func (f *fakeRows) InsertAll(ctx context.Context, inserts []lavplatform.Insert) ([]lavplatform.WriteResult, error) {
	written := make([]lavplatform.WriteResult, 0, len(inserts))
	for _, insert := range inserts {
		one, err := f.Insert(ctx, insert)
		if err != nil {
			return nil, err
		}
		written = append(written, one)
	}
	return written, nil
}

func (f *fakeRows) Swap(_ context.Context, swap lavplatform.Swap) (lavplatform.WriteResult, error) {
	row := f.rows[swap.Key]
	if f.down || row.Revision != swap.Revision {
		return lavplatform.WriteResult{Row: row}, nil
	}
	row.Revision++
	row.Value = swap.Value
	f.rows[swap.Key] = row
	return lavplatform.WriteResult{Won: true, Row: row}, nil
}

type noReplicator struct{}

func (noReplicator) Replicate(context.Context, lavsession.Key, lavid.VersionID) {}

func newOwner(t *testing.T, host lavid.HostID, rows Rows) *Owner {
	t.Helper()
	table, err := lavsession.NewTable(100)
	if err != nil {
		t.Fatal(err)
	}
	owner := NewOwner(OwnerOptions{Host: host, Pins: table, Rows: rows, Log: discardLogger()})
	owner.Replicator = noReplicator{}
	return owner
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func pin(t *testing.T, owner *Owner, request *lavwire.PinRequest) string {
	t.Helper()
	request.AccountId, request.SessionId, request.ModelId = "a", "s", "auto"
	response, err := owner.Pin(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	return response.GetVersionId()
}

// TestTwoOwnersOfASessionAgreeThroughTheStore guards against two versions of one session when hosts choose different
// owners, as during a change of the host list.
func TestTwoOwnersOfASessionAgreeThroughTheStore(t *testing.T) {
	is := is.New(t)
	rows := &fakeRows{rows: make(map[string]lavplatform.Row)}
	first, second := newOwner(t, "h1", rows), newOwner(t, "h2", rows)
	is.Equal(pin(t, first, &lavwire.PinRequest{ProposedVersionId: "v1"}), "v1")
	is.Equal(pin(t, second, &lavwire.PinRequest{ProposedVersionId: "v2"}), "v1")
}

// TestPinIsReadFromTheStoreWhenBothOwnersAreGone guards against losing a pin that was decided while the store was
// down, when its owners leave later.
func TestPinIsReadFromTheStoreWhenBothOwnersAreGone(t *testing.T) {
	is := is.New(t)
	rows := &fakeRows{rows: make(map[string]lavplatform.Row), down: true}
	owner := newOwner(t, "h1", rows)
	is.Equal(pin(t, owner, &lavwire.PinRequest{ProposedVersionId: "v1"}), "v1")
	rows.down = false
	is.NoErr(owner.WriteBehind(t.Context()))
	is.Equal(pin(t, newOwner(t, "h3", rows), &lavwire.PinRequest{}), "v1")
}

// TestReplacingAVersionUpdatesTheStoredPin guards against a session that returns to a replaced version because the
// stored row still names it.
func TestReplacingAVersionUpdatesTheStoredPin(t *testing.T) {
	is := is.New(t)
	rows := &fakeRows{rows: make(map[string]lavplatform.Row)}
	pin(t, newOwner(t, "h1", rows), &lavwire.PinRequest{ProposedVersionId: "v1"})
	is.Equal(pin(t, newOwner(t, "h2", rows), &lavwire.PinRequest{ProposedVersionId: "v2", ReplacesVersionId: "v1"}), "v2")
	is.Equal(pin(t, newOwner(t, "h3", rows), &lavwire.PinRequest{}), "v2")
}

// TestProvisionalPinIsStoredOnTheSecondTurn guards against one stored row for each conversation of a single turn, and
// against a change of version on the second turn.
func TestProvisionalPinIsStoredOnTheSecondTurn(t *testing.T) {
	is := is.New(t)
	rows := &fakeRows{rows: make(map[string]lavplatform.Row)}
	owner := newOwner(t, "h1", rows)
	pin(t, owner, &lavwire.PinRequest{ProposedVersionId: "v1", Provisional: true})
	is.Equal(len(rows.rows), 0)
	is.Equal(pin(t, owner, &lavwire.PinRequest{ProposedVersionId: "v2"}), "v1")
	is.Equal(len(rows.rows), 1)
}

// blockedRows is a table that blocks each Get until the test closes release.
type blockedRows struct {
	fakeRows
	started chan struct{}
	release chan struct{}
}

func (b *blockedRows) Get(ctx context.Context, table, key string) (lavplatform.Row, error) {
	b.started <- struct{}{}
	<-b.release
	return b.fakeRows.Get(ctx, table, key)
}

// TestConcurrentRequestsGetOneVersionWhileTheStoreIsDown guards against two versions of one session when its first two
// requests arrive together and the store cannot decide between them.
func TestConcurrentRequestsGetOneVersionWhileTheStoreIsDown(t *testing.T) {
	is := is.New(t)
	rows := &blockedRows{fakeRows: fakeRows{down: true}, started: make(chan struct{}), release: make(chan struct{})}
	owner := newOwner(t, "h1", rows)
	versions := make(chan string, 2)
	for _, proposed := range []string{"v1", "v2"} {
		go func() { versions <- pin(t, owner, &lavwire.PinRequest{ProposedVersionId: proposed}) }()
	}
	<-rows.started
	<-rows.started
	close(rows.release)
	is.Equal(<-versions, <-versions)
}

type members []lavring.Member

func (m members) Entries(time.Time) []lavring.Member { return m }

// TestResolverAsksTheSecondOwnerWhenTheFirstDoesNotAnswer guards against a request that waits for an owner that does
// not answer, or gets a version without asking the other owner.
func TestResolverAsksTheSecondOwnerWhenTheFirstDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	rows := &fakeRows{rows: make(map[string]lavplatform.Row)}
	other := newOwner(t, "h2", rows)
	alive := httptest.NewServer(lavwire.NewSessionsServer(other))
	defer alive.Close()
	done := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-done }))
	defer silent.Close()
	defer close(done)
	address := func(server *httptest.Server) string { return server.Listener.Addr().String() }
	resolver := &Resolver{
		Host:    "h1",
		Members: members{{ID: "h3", DataCentre: "d1", Address: address(silent)}, {ID: "h2", DataCentre: "d2", Address: address(alive)}},
		Local:   newOwner(t, "h1", rows),
		HTTP:    http.DefaultClient,
		Scheme:  "http://",
		Log:     discardLogger(),
	}
	for _, session := range []lavid.SessionID{"s1", "s2", "s3", "s4"} {
		key := lavsession.Key{Account: "a", Session: session, Model: "auto"}
		version, _ := resolver.Resolve(t.Context(), Query{Key: key, Proposed: "v1"})
		is.Equal(version, lavid.VersionID("v1"))
		_, exists := other.Pins.Get(key)
		is.True(exists)
	}
}
