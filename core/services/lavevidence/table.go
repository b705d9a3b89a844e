package lavevidence

import (
	"math"
	"slices"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavtable"
)

// Settings are the constants of forgetting and shrinkage.
type Settings struct {
	// HalfLife is the time after which a count weighs half.
	HalfLife time.Duration
	// MaxRated caps the weight of the past in rated answers, so that news is seen sooner under high load.
	MaxRated float64
	// PriorWeight is the weight of the configured expected quality, in rated answers.
	PriorWeight float64
	// VersionWeight is the weight of the version's estimate on one of its classes, in rated answers.
	VersionWeight float64
	// AssumedInput and AssumedOutput give the cost of an answer before one was counted.
	AssumedInput  lavid.Tokens
	AssumedOutput lavid.Tokens
}

// DefaultSettings returns the settings for production.
func DefaultSettings() Settings {
	return Settings{
		HalfLife:      time.Hour,
		MaxRated:      3000,
		PriorWeight:   20,
		VersionWeight: 8,
		AssumedInput:  600,
		AssumedOutput: 300,
	}
}

// senderRetention is how long the last report number of a silent sender is remembered.
const senderRetention = time.Hour

type row struct {
	counts  Counts
	updated time.Time
}

type sender struct {
	number     uint64
	lastReport time.Time
}

// Table pools the counts of all senders.
type Table struct {
	settings Settings
	rows     *lavtable.Table[string, row]
	keys     *lavtable.Table[string, Key]
	senders  *lavtable.Table[lavid.HostID, sender]
}

// NewTable returns an empty table.
func NewTable(settings Settings) *Table {
	return &Table{
		settings: settings,
		rows:     lavtable.New[string, row](),
		keys:     lavtable.New[string, Key](),
		senders:  lavtable.New[lavid.HostID, sender](),
	}
}

// Merge adds a report and tells whether it was new; a repeated or older one changes nothing.
func (t *Table) Merge(report Report, now time.Time) bool {
	isNew := false
	t.senders.Update(report.Sender, func(last sender, known bool) sender {
		isNew = !known || report.Number > last.number
		last.number = max(last.number, report.Number)
		last.lastReport = now
		return last
	})
	if !isNew {
		return false
	}
	for _, count := range report.Counts {
		t.Add(count, now)
	}
	return true
}

// Add counts what this process saw itself; counts that cannot be true are ignored.
func (t *Table) Add(count Count, now time.Time) {
	if !count.valid() {
		return
	}
	t.add(count, now)
	if count.After == "" && count.Class != "" {
		t.add(Count{Key: Key{Version: count.Version}, Counts: count.Counts}, now)
	}
}

func (t *Table) add(count Count, now time.Time) {
	id := count.tableKey()
	if _, known := t.keys.Get(id); !known {
		t.keys.Put(id, count.Key)
	}
	t.rows.Update(id, func(old row, _ bool) row {
		sum := old.decayed(t.settings.HalfLife, now).Plus(count.Counts)
		return row{counts: t.settings.capRated(sum), updated: now}
	})
}

// ReplaceCounts replaces the counts of the keys by the pooled ones of their owner.
func (t *Table) ReplaceCounts(pooled []Count, now time.Time) {
	for _, count := range pooled {
		if !count.valid() {
			continue
		}
		t.keys.Put(count.tableKey(), count.Key)
		t.rows.Put(count.tableKey(), row{counts: count.Counts, updated: now})
	}
}

// Counts returns the pooled counts in order of their keys, for the state dump and for Adopt elsewhere.
func (t *Table) Counts(now time.Time) []Count {
	var all []Count
	for _, id := range t.keys.IDs() {
		key, _ := t.keys.Get(id)
		all = append(all, Count{Key: key, Counts: t.read(key, now)})
	}
	slices.SortFunc(all, func(a, b Count) int { return a.Compare(b.Key) })
	return all
}

// ExpireSenders drops the numbers of senders that have been silent for long.
func (t *Table) ExpireSenders(now time.Time) int {
	return t.senders.DeleteIf(func(_ lavid.HostID, last sender) bool {
		return now.Sub(last.lastReport) > senderRetention
	})
}

func (t *Table) read(key Key, now time.Time) Counts {
	found, ok := t.rows.Get(key.tableKey())
	if !ok {
		return Counts{}
	}
	return found.decayed(t.settings.HalfLife, now)
}

// text joins the fields with a byte that no id contains.
func (k Key) tableKey() string {
	return string(k.Version) + "\x00" + string(k.After) + "\x00" + string(k.Class)
}

func (r row) decayed(halfLife time.Duration, now time.Time) Counts {
	age := now.Sub(r.updated)
	if age <= 0 || halfLife <= 0 {
		return r.counts
	}
	return r.counts.Scaled(math.Exp2(-float64(age) / float64(halfLife)))
}

func (s Settings) capRated(counts Counts) Counts {
	if s.MaxRated <= 0 || counts.Rated <= s.MaxRated {
		return counts
	}
	return counts.Scaled(s.MaxRated / counts.Rated)
}
