package lavorder

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
)

// EpochTable holds one row for each backend server.
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
	// Process changes with each start of a side process.
	Process string
}

// ErrSuperseded says that a newer side process orders this backend server.
var ErrSuperseded = errors.New("a newer side process orders this backend server; end this one")

// Fence is the right of one process to order one backend server.
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

// Hold returns the epoch that this process holds now, read from the table service; the first call takes the next one.
//
// A process that once held an epoch and finds another process's never takes one again.
func (f *Fence) Hold(ctx context.Context) (lavid.Epoch, error) {
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
	return f.take(ctx, row, held.Epoch+1)
}

// Raise takes an epoch above one that the engine reports, while the row is still this process's.
func (f *Fence) Raise(ctx context.Context, above lavid.Epoch) error {
	row, held, err := f.read(ctx)
	if err != nil {
		return err
	}
	if held.Process != f.process {
		f.lost = f.epoch != 0
		return ErrSuperseded
	}
	_, err = f.take(ctx, row, max(above, held.Epoch)+1)
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

// take writes the epoch over the row that was read and returns it when it stands.
func (f *Fence) take(ctx context.Context, row lavplatform.Row, epoch lavid.Epoch) (lavid.Epoch, error) {
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
		return 0, errors.Wrap(err, "take the next epoch")
	}
	if !written.Won {
		return 0, errors.New("another side process takes an epoch; trying again at the next tick")
	}
	f.epoch = epoch
	return epoch, nil
}
