package lavorder

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
)

// EpochTable is the table that holds one row for each backend server.
const EpochTable = "Epoch"

// Rows is the part of the table service that orders need.
type Rows interface {
	Insert(ctx context.Context, insert lavplatform.Insert) (lavplatform.WriteResult, error)
	Swap(ctx context.Context, swap lavplatform.Swap) (lavplatform.WriteResult, error)
	Get(ctx context.Context, table, key string) (lavplatform.Row, error)
}

// Holder is the value of an epoch row.
type Holder struct {
	Epoch lavid.Epoch
	// Process identifies one start of a side process.
	Process string
}

// ErrSuperseded is returned to a side process after a newer one acquired the epoch of its backend server.
var ErrSuperseded = errors.New("a newer side process holds the epoch of this backend server; stop this process")

// Fence holds the epoch under which one process sends orders to one backend server.
type Fence struct {
	rows    Rows
	server  lavid.BackendServerID
	process string
	epoch   lavid.Epoch
	lost    bool
}

// NewFence returns a fence without an epoch.
func NewFence(rows Rows, server lavid.BackendServerID, process string) *Fence {
	return &Fence{rows: rows, server: server, process: process}
}

// Acquire reads the epoch row and returns the epoch that this process holds; the first call takes the next epoch.
//
// A process that held an epoch and then finds the row held by another process returns ErrSuperseded from then on.
func (f *Fence) Acquire(ctx context.Context) (lavid.Epoch, error) {
	if f.lost {
		return 0, ErrSuperseded
	}
	row, held, err := f.read(ctx)
	if err != nil {
		return 0, err
	}
	if held.Process == f.process {
		f.epoch = held.Epoch
		return f.epoch, nil
	}
	if f.epoch != 0 {
		f.lost = true
		return 0, ErrSuperseded
	}
	return f.write(ctx, row, held.Epoch+1)
}

// RaiseAbove takes an epoch above the given one, which the engine has obeyed, if this process still holds the row.
func (f *Fence) RaiseAbove(ctx context.Context, above lavid.Epoch) error {
	row, held, err := f.read(ctx)
	if err != nil {
		return err
	}
	if held.Process != f.process {
		f.lost = f.epoch != 0
		return ErrSuperseded
	}
	_, err = f.write(ctx, row, max(above, held.Epoch)+1)
	return err
}

func (f *Fence) read(ctx context.Context) (lavplatform.Row, Holder, error) {
	row, err := f.rows.Get(ctx, EpochTable, string(f.server))
	if lavplatform.IsErrRowNotExist(err) {
		return lavplatform.Row{}, Holder{}, nil
	}
	if err != nil {
		return lavplatform.Row{}, Holder{}, errors.Wrap(err, "read the epoch")
	}
	var held Holder
	if err := json.Unmarshal(row.Value, &held); err != nil {
		return lavplatform.Row{}, Holder{}, errors.Wrap(err, "decode the epoch; restore the row in the table service")
	}
	return row, held, nil
}

// write replaces the row that was read by one with the epoch, and returns the epoch if the write won.
func (f *Fence) write(ctx context.Context, row lavplatform.Row, epoch lavid.Epoch) (lavid.Epoch, error) {
	value, err := json.Marshal(Holder{Epoch: epoch, Process: f.process})
	if err != nil {
		return 0, errors.Wrap(err, "encode the epoch")
	}
	insert := lavplatform.Insert{Table: EpochTable, Key: string(f.server), Writer: fmt.Sprintf("%s/%d", f.process, epoch), Value: value}
	var written lavplatform.WriteResult
	if row.Revision == 0 {
		written, err = f.rows.Insert(ctx, insert)
	} else {
		written, err = f.rows.Swap(ctx, lavplatform.Swap{Insert: insert, Revision: row.Revision})
	}
	if err != nil {
		return 0, errors.Wrap(err, "write the next epoch")
	}
	if !written.Won {
		return 0, errors.New("another side process wrote the epoch first; trying again at the next tick")
	}
	f.epoch = epoch
	return epoch, nil
}
