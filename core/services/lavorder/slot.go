package lavorder

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/modules/lavplatform"
)

// SlotTable is the table that holds one row for each slot. A slot is a lease that limits concurrent loads in a data
// centre, or concurrent unloads of a version.
const SlotTable = "LoadSlot"

// slotTTL is the time after which another process may acquire a slot that its holder has not released.
const slotTTL = 2 * time.Minute

// Slot is the value of a slot row; Process is empty and ExpiresUnixMillis zero while the slot is free.
type Slot struct {
	Process           string
	ExpiresUnixMillis int64
}

// Slots acquires and releases slots for one process, which holds at most one at a time.
type Slots struct {
	rows    Rows
	process string
	// held is the name of the held slot; it is empty when the process holds none.
	held string
}

// NewSlots returns slots for a process that holds none.
func NewSlots(rows Rows, process string) *Slots {
	return &Slots{rows: rows, process: process}
}

// Acquire reports whether the process holds the slot after the call; it first releases any other slot that it holds. An
// empty name needs no slot.
func (s *Slots) Acquire(ctx context.Context, name string, now time.Time) (bool, error) {
	if name == "" || s.held == name {
		return true, nil
	}
	if err := s.Release(ctx, now); err != nil {
		return false, err
	}
	written, err := s.rows.Insert(ctx, s.insert(name, now.Add(slotTTL), now))
	if err != nil {
		return false, errors.Wrap(err, "acquire slot")
	}
	slot, err := decodeSlot(written.Row)
	if err != nil {
		return false, err
	}
	if slot.Process != s.process && now.UnixMilli() > slot.ExpiresUnixMillis {
		slot, err = s.replace(ctx, written.Row, now.Add(slotTTL), now)
	}
	if err != nil || slot.Process != s.process {
		return false, err
	}
	s.held = name
	return true, nil
}

// Release releases the slot that the process holds, if any.
func (s *Slots) Release(ctx context.Context, now time.Time) error {
	if s.held == "" {
		return nil
	}
	row, err := s.rows.Get(ctx, SlotTable, s.held)
	if err != nil {
		return errors.Wrap(err, "read the held slot")
	}
	slot, err := decodeSlot(row)
	if err != nil {
		return err
	}
	if slot.Process == s.process {
		if _, err := s.replace(ctx, row, time.Time{}, now); err != nil {
			return err
		}
	}
	s.held = ""
	return nil
}

// replace writes the slot over the row that was read; a zero expiry releases the slot.
func (s *Slots) replace(ctx context.Context, row lavplatform.Row, expires, now time.Time) (Slot, error) {
	written, err := s.rows.Swap(ctx, lavplatform.Swap{Insert: s.insert(row.Key, expires, now), Revision: row.Revision})
	if err != nil {
		return Slot{}, errors.Wrap(err, "replace slot")
	}
	return decodeSlot(written.Row)
}

func (s *Slots) insert(name string, expires, now time.Time) lavplatform.Insert {
	slot := Slot{Process: s.process}
	if !expires.IsZero() {
		slot.ExpiresUnixMillis = expires.UnixMilli()
	}
	if expires.IsZero() {
		slot.Process = ""
	}
	value, err := json.Marshal(slot)
	if err != nil {
		panic(err)
	}
	return lavplatform.Insert{Table: SlotTable, Key: name, Writer: fmt.Sprintf("%s/%d", s.process, now.UnixNano()), Value: value}
}

func decodeSlot(row lavplatform.Row) (Slot, error) {
	var slot Slot
	err := json.Unmarshal(row.Value, &slot)
	return slot, errors.Wrapf(err, "decode slot %s; remove the row from the table service", row.Key)
}
