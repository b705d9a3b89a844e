package lavbill

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/wire/lavwire"
)

// fakeRows inserts rows if absent and loses the replies of its first calls.
type fakeRows struct {
	rows map[string]int
	lost int
}

func (f *fakeRows) InsertAll(_ context.Context, inserts []lavplatform.Insert) ([]lavplatform.WriteResult, error) {
	for _, insert := range inserts {
		if _, ok := f.rows[insert.Key]; !ok {
			f.rows[insert.Key] = 1
		}
	}
	if f.lost > 0 {
		f.lost--
		return nil, lavplatform.ErrStoreUnavailable{Reason: "reply lost"}
	}
	return make([]lavplatform.WriteResult, len(inserts)), nil
}

func writer(rows Rows, limit int) *Writer {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Writer{Pending: NewPending(limit), Rows: rows, Log: log}
}

func bill(request string) Bill {
	return Bill{Key: Key{Account: "tavares", Request: lavid.RequestID(request)}, Cost: 5}
}

// TestRequestBilledOnceByTwoProcessesWithLostReplies guards against a second bill when the entry host and the side
// process both write it and repeat writes whose replies were lost.
func TestRequestBilledOnceByTwoProcessesWithLostReplies(t *testing.T) {
	is := is.New(t)
	rows := &fakeRows{rows: make(map[string]int), lost: 2}
	entry, side := writer(rows, 10), writer(rows, 10)
	is.True(entry.Pending.Add(bill("r1")))
	is.True(entry.Pending.Add(bill("r1")))
	is.True(side.Pending.Add(bill("r1")))
	for range 3 {
		entry.Flush(t.Context())
		side.Flush(t.Context())
	}
	is.Equal(entry.Pending.Len()+side.Pending.Len(), 0)
	is.Equal(rows.rows, map[string]int{"tavares/r1": 1})
}

// TestFullPendingSetRefusesBills guards against bills that are dropped without notice when a process holds too many.
func TestFullPendingSetRefusesBills(t *testing.T) {
	is := is.New(t)
	w := writer(&fakeRows{rows: make(map[string]int), lost: 100}, 2)
	is.True(w.Pending.Add(bill("r1")))
	is.True(w.Pending.Add(bill("r2")))
	is.True(w.Pending.Full())
	ack, err := w.Hold(t.Context(), &lavwire.BillBatch{Bills: []*lavwire.Bill{bill("r3").ToWire()}})
	is.NoErr(err)
	is.Equal(ack.GetRefused(), int32(1))
	w.Flush(t.Context())
	is.Equal(w.Pending.Len(), 2)
}

// TestHandOverMovesEveryBill guards against bills that are lost when a host stops while the store is unavailable.
func TestHandOverMovesEveryBill(t *testing.T) {
	is := is.New(t)
	rows := &fakeRows{rows: make(map[string]int)}
	ending, holder := writer(rows, 10), writer(rows, 10)
	ending.Pending.Add(bill("r1"))
	is.NoErr(ending.HandOver(t.Context(), holder, "entry-1"))
	is.Equal(ending.Pending.Len(), 0)
	is.Equal(holder.Pending.Batch(1)[0].Cost, lavid.NanoUnits(5))
}

// TestBillSumsAllStages guards against a bill that omits the earlier stages of a cascade.
func TestBillSumsAllStages(t *testing.T) {
	is := is.New(t)
	document := &lavconfig.Document{Versions: map[lavid.VersionID]lavconfig.Version{"v": {InputPrice: 2, OutputPrice: 3}}}
	attempt := &lavwire.Attempt{VersionId: "v", PriorCostNanos: 100, PriorStages: 1}
	got := ForAttempt(document, attempt, Usage{Input: 10, Output: 20}, time.Time{})
	is.Equal(got.Cost, lavid.NanoUnits(180))
	is.Equal(got.Stages, 2)
}
