package lavbill

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/wire/lavwire"
)

const (
	// batchSize is the number of bills in one write or one message to another process.
	batchSize = 200
	// minFlushInterval separates two flushes of a process while there are few hosts.
	minFlushInterval = 200 * time.Millisecond
)

// Rows is the part of the table service that bills need.
type Rows interface {
	InsertAll(ctx context.Context, inserts []lavplatform.Insert) ([]lavplatform.WriteResult, error)
}

// Hosts counts the hosts that write bills.
type Hosts interface {
	Count() int
}

// Writer writes pending bills to the table service and accepts bills that other processes hand over.
type Writer struct {
	lavlife.DoneSignal
	Pending *Pending
	Rows    Rows
	Hosts   Hosts
	Log     *logrus.Logger

	// confirmMu is held by Flush and HandOver, so that no other batch is confirmed between Batch and Confirm.
	confirmMu sync.Mutex
}

// Run flushes until ctx ends; the interval grows with the number of hosts.
func (w *Writer) Run(ctx context.Context) {
	defer w.Finish()
	for lavlife.Pause(ctx, lavlife.SharedInterval(minFlushInterval, w.Hosts.Count())) {
		w.Flush(ctx)
	}
}

// Flush writes all pending bills in batches and stops at the first batch that the table service does not confirm.
func (w *Writer) Flush(ctx context.Context) {
	w.confirmMu.Lock()
	defer w.confirmMu.Unlock()
	for {
		batch := w.Pending.Batch(batchSize)
		if len(batch) == 0 {
			return
		}
		if _, err := w.Rows.InsertAll(ctx, buildInserts(batch)); err != nil {
			w.Log.WithError(err).WithField("pending", w.Pending.Len()).Warning("bills are not confirmed; writing them again at the next tick")
			return
		}
		w.Pending.Confirm(batch)
	}
}

func buildInserts(batch []Bill) []lavplatform.Insert {
	inserts := make([]lavplatform.Insert, 0, len(batch))
	for _, bill := range batch {
		inserts = append(inserts, bill.insert())
	}
	return inserts
}

// Hold keeps the bills of another process until they are written and returns how many it refused; it implements
// lavwire.Bills.
func (w *Writer) Hold(_ context.Context, batch *lavwire.BillBatch) (*lavwire.BillAck, error) {
	ack := &lavwire.BillAck{}
	for _, message := range batch.GetBills() {
		if !w.Pending.Add(FromWire(message)) {
			ack.Refused++
		}
	}
	return ack, nil
}

// HandOver sends all pending bills to another process; a host that stops while the table service is unavailable calls
// it. It keeps the current batch and returns an error when the other process refuses a bill.
func (w *Writer) HandOver(ctx context.Context, receiver lavwire.Bills, sender string) error {
	w.confirmMu.Lock()
	defer w.confirmMu.Unlock()
	for {
		batch := w.Pending.Batch(batchSize)
		if len(batch) == 0 {
			return nil
		}
		message := &lavwire.BillBatch{SenderId: sender}
		for _, bill := range batch {
			message.Bills = append(message.Bills, bill.ToWire())
		}
		ack, err := receiver.Hold(ctx, message)
		if err != nil {
			return err
		}
		if ack.GetRefused() > 0 {
			return lavplatform.ErrStoreUnavailable{Reason: "the other process holds too many bills"}
		}
		w.Pending.Confirm(batch)
	}
}
