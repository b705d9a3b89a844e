package lavrestore

import (
	"bytes"
	"cmp"
	"slices"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
)

// HoldTime is how long after the store's return a row that it lacks stays in force. Operators write what was lost again within seconds, and a
// data centre that an operator has taken back meanwhile has to serve again within the time in which hosts have to recover.
const HoldTime = 10 * time.Second

// Row is a row that an operator has written.
type Row struct {
	Key   string
	Value []byte
	// Written is the version of the row, and the era in which it was read from the store. A row of an earlier era than that of the read
	// is held: the store lacks it.
	Written lavrevision.Revision
	// Number is the number of a configuration, which never falls; zero for other rows.
	Number lavid.ConfigNumber
}

// Keeper holds the operators' rows that are in force on this host. It is not safe for concurrent use.
type Keeper struct {
	rows []Row
	// returned is the revision at which the store's era was first read, at returnedAt.
	returned   lavrevision.Revision
	returnedAt time.Time
}

// Merge takes over the rows of a read of the store, by this host or another one, and returns the rows in force, in order of their keys:
// those that were read, and known ones that a store which came back from a copy lacks or holds in an earlier state.
func (k *Keeper) Merge(read []Row, revision lavrevision.Revision, now time.Time) []Row {
	if revision.Era > k.returned.Era {
		k.returned, k.returnedAt = revision, now
	}
	fresh := make(map[string]Row, len(read))
	for _, row := range read {
		if !k.hasExpired(row, revision, now) {
			fresh[row.Key] = row
		}
	}
	for _, known := range k.rows {
		if row, exists := fresh[known.Key]; k.holds(known, row, exists, revision, now) {
			fresh[known.Key] = known
		}
	}
	k.rows = k.rows[:0]
	for _, row := range fresh {
		k.rows = append(k.rows, row)
	}
	slices.SortFunc(k.rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return slices.Clone(k.rows)
}

// Adopt takes over what another host holds, from a read that is not later than this host's, and returns the rows in force and whether that
// has changed them. Everything else that the other host has read may be out of date.
func (k *Keeper) Adopt(rows []Row, revision lavrevision.Revision, now time.Time) ([]Row, bool) {
	changed := false
	for _, row := range rows {
		known := slices.IndexFunc(k.rows, func(known Row) bool { return known.Key == row.Key })
		switch {
		case row.Number == 0 && (row.Written.Era >= revision.Era || k.hasExpired(row, revision, now)):
		case known < 0:
			k.rows = append(k.rows, row)
			changed = true
		case row.Number > k.rows[known].Number:
			k.rows[known] = row
			changed = true
		}
	}
	slices.SortFunc(k.rows, func(a, b Row) int { return cmp.Compare(a.Key, b.Key) })
	return slices.Clone(k.rows), changed
}

// hasExpired reports whether a row that another host holds need not be held any more.
func (k *Keeper) hasExpired(row Row, revision lavrevision.Revision, now time.Time) bool {
	return row.Number == 0 && row.Written.Era < revision.Era && !k.isHolding(now)
}

// holds reports whether a known row stays in force although a read has another one with its key, or none.
func (k *Keeper) holds(known, row Row, exists bool, revision lavrevision.Revision, now time.Time) bool {
	switch {
	case known.Number > 0:
		return !exists || row.Number < known.Number
	case !k.isHolding(now) || known.Written.Era >= revision.Era:
		return false
	case !exists:
		return true
	default:
		// A row that has changed since the store's return was written again.
		return row.Written.Version <= k.returned.Version && !bytes.Equal(row.Value, known.Value)
	}
}

func (k *Keeper) isHolding(now time.Time) bool { return now.Before(k.returnedAt.Add(HoldTime)) }

// Expired reports whether rows are in force that need not be held any more, so that the store has to be read again.
func (k *Keeper) Expired(now time.Time) bool {
	return slices.ContainsFunc(k.rows, func(row Row) bool { return k.hasExpired(row, k.returned, now) })
}

// Held returns the keys of the rows in force that the store lacks.
func (k *Keeper) Held() []string {
	var keys []string
	for _, row := range k.rows {
		if row.Written.Era < k.returned.Era {
			keys = append(keys, row.Key)
		}
	}
	return keys
}
