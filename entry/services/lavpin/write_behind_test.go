package lavpin

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavsession"
	"lavenderswitch/wire/lavwire"
)

// slowRows is a table whose batches take a while. It records the largest number of batches at the same time.
type slowRows struct {
	mu      sync.Mutex
	rows    fakeRows
	delay   time.Duration
	running int
	most    int
	batches int
	// failures is the number of batches that fail before the first one succeeds.
	failures int
}

func (s *slowRows) Get(ctx context.Context, table, key string) (lavplatform.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows.Get(ctx, table, key)
}

// Insert fails, so that each pin waits to be written in a batch.
func (s *slowRows) Insert(context.Context, lavplatform.Insert) (lavplatform.WriteResult, error) {
	return lavplatform.WriteResult{}, lavplatform.ErrStoreUnavailable{Reason: "down"}
}

func (s *slowRows) InsertAll(ctx context.Context, inserts []lavplatform.Insert) ([]lavplatform.WriteResult, error) {
	s.mu.Lock()
	s.running++
	s.batches++
	s.most = max(s.most, s.running)
	s.mu.Unlock()
	time.Sleep(s.delay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if s.failures > 0 {
		s.failures--
		return nil, lavplatform.ErrStoreUnavailable{Reason: "busy"}
	}
	return s.rows.InsertAll(ctx, inserts)
}

func (s *slowRows) Swap(context.Context, lavplatform.Swap) (lavplatform.WriteResult, error) {
	return lavplatform.WriteResult{}, lavplatform.ErrStoreUnavailable{Reason: "down"}
}

type oneHost struct{}

func (oneHost) Count() int { return 1 }

// newSlowOwner returns an owner with the given number of pins that wait to be written.
func newSlowOwner(t *testing.T, rows *slowRows, pins int) *Owner {
	t.Helper()
	rows.rows.rows = make(map[string]lavplatform.Row)
	table, err := lavsession.NewTable(max(pins, 1))
	if err != nil {
		t.Fatal(err)
	}
	owner := NewOwner(OwnerOptions{Host: "h1", Pins: table, Rows: rows, Hosts: oneHost{}, Log: discardLogger()})
	owner.Replicator = noReplicator{}
	for i := range pins {
		pinSession(t, owner, fmt.Sprint("s", i))
	}
	return owner
}

func pinSession(t *testing.T, owner *Owner, session string) {
	t.Helper()
	_, err := owner.Pin(t.Context(), &lavwire.PinRequest{AccountId: "a", SessionId: session, ModelId: "auto", ProposedVersionId: "v1"})
	if err != nil {
		t.Fatal(err)
	}
}

// TestFlushDuringAWriteWritesEachPinOnce guards against two batches at the same time, which removed the same pins from the
// pending ones twice and crashed the host while it shut down.
func TestFlushDuringAWriteWritesEachPinOnce(t *testing.T) {
	is := is.New(t)
	rows := &slowRows{delay: 20 * time.Millisecond}
	owner := newSlowOwner(t, rows, 1)
	var writers conc.WaitGroup
	for range 3 {
		writers.Go(func() { owner.Flush(t.Context()) })
	}
	writers.Wait()
	is.Equal(rows.most, 1)
	is.Equal(len(rows.rows.rows), 1)
	is.Equal(owner.pendingCount(), 0)
}

// TestFlushWritesAllPinsInSeveralBatches guards against a shutdown that writes the first batch only.
func TestFlushWritesAllPinsInSeveralBatches(t *testing.T) {
	is := is.New(t)
	rows := &slowRows{failures: 2}
	owner := newSlowOwner(t, rows, 2*writeBatch+1)
	owner.Flush(t.Context())
	is.Equal(len(rows.rows.rows), 2*writeBatch+1)
	is.Equal(rows.batches, 2+3)
	is.Equal(owner.pendingCount(), 0)
}

// TestFlushEndsWithItsContext guards against a shutdown that waits for a store that is down beyond the grace period.
func TestFlushEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	owner := newSlowOwner(t, &slowRows{failures: 1 << 20}, 3)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	began := time.Now()
	owner.Flush(ctx)
	is.True(time.Since(began) < time.Second)
	is.Equal(owner.pendingCount(), 3)
}

// TestEvictedPendingPinIsWrittenWithItsVersion guards against a stored row with an empty version: the table had evicted the
// pin before it was written.
func TestEvictedPendingPinIsWrittenWithItsVersion(t *testing.T) {
	is := is.New(t)
	rows := &slowRows{}
	owner := newSlowOwner(t, rows, 1)
	pinSession(t, owner, "other") // the table holds one pin
	_, exists := owner.Pins.Get(lavsession.Key{Account: "a", Session: "s0", Model: "auto"})
	is.True(!exists)
	is.NoErr(owner.WriteBehind(t.Context()))
	is.Equal(len(rows.rows.rows), 2)
	for _, row := range rows.rows.rows {
		stored, err := decodePin(row)
		is.NoErr(err)
		is.Equal(stored.Version, lavid.VersionID("v1"))
	}
}

// TestPinMovedDuringAWriteIsKept guards against a session that returns to a replaced version because the row of the old
// one was written while the session moved.
func TestPinMovedDuringAWriteIsKept(t *testing.T) {
	is := is.New(t)
	rows := &slowRows{delay: 50 * time.Millisecond}
	owner := newSlowOwner(t, rows, 1)
	key := lavsession.Key{Account: "a", Session: "s0", Model: "auto"}
	var writer conc.WaitGroup
	writer.Go(func() { owner.Flush(t.Context()) })
	time.Sleep(10 * time.Millisecond)
	owner.Pins.Store(key, lavsession.Pin{Version: "v2", Moves: 1, Stored: true})
	writer.Wait()
	pin, _ := owner.Pins.Get(key)
	is.Equal(pin.Version, lavid.VersionID("v2"))
}
