package lavevidence

import (
	"math"
	"slices"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavtable"
)

// Settings are the parameters of decay and shrinkage.
type Settings struct {
	// HalfLife is the time after which a count weighs half.
	HalfLife time.Duration
	// MaxRated caps the rated answers counted for one key, so that changes show in the estimate soon also under high load.
	MaxRated float64
	// PriorWeight is the weight of the configured expected quality, in rated answers.
	PriorWeight float64
	// VersionWeight is the weight of the next wider group's estimate, in rated answers.
	VersionWeight float64
	// AssumedInput and AssumedOutput are the numbers of tokens from which the cost of an answer is estimated while none is
	// counted.
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

// senderRetention is how long the last report number of a silent sender is kept.
const senderRetention = time.Hour

// row holds decayed counts and the time they were decayed to.
type row struct {
	counts  Counts
	updated time.Time
}

// sender holds the number and time of a sender's latest report.
type sender struct {
	number     uint64
	lastReport time.Time
}

// Table pools the counts of all senders. Counts decay exponentially.
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

// Merge adds a report and reports whether it was new. A repeated or older report changes nothing.
func (t *Table) Merge(report Report, now time.Time) bool {
	isNew := false
	t.senders.Update(report.Sender, func(last sender, found bool) sender {
		isNew = !found || report.Number > last.number
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

// Add adds a count; invalid counts are ignored. First-stage counts of a class are also added to the version's
// total.
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
	if _, found := t.keys.Get(id); !found {
		t.keys.Put(id, count.Key)
	}
	t.rows.Update(id, func(old row, _ bool) row {
		sum := old.decayed(t.settings.HalfLife, now).Plus(count.Counts)
		return row{counts: t.settings.capRated(sum), updated: now}
	})
}

// ReplaceCounts replaces the counts of the given keys by the pooled counts of their owner; invalid counts are
// ignored.
func (t *Table) ReplaceCounts(pooled []Count, now time.Time) {
	for _, count := range pooled {
		if !count.valid() {
			continue
		}
		t.keys.Put(count.tableKey(), count.Key)
		t.rows.Put(count.tableKey(), row{counts: count.Counts, updated: now})
	}
}

// Counts returns all counts in order of their keys, for the state dump and for ReplaceCounts on another host.
func (t *Table) Counts(now time.Time) []Count {
	var all []Count
	for _, id := range t.keys.IDs() {
		key, _ := t.keys.Get(id)
		all = append(all, Count{Key: key, Counts: t.read(key, now)})
	}
	slices.SortFunc(all, func(a, b Count) int { return a.Compare(b.Key) })
	return all
}

// ExpireSenders removes the report numbers of senders silent for longer than senderRetention and returns how many
// it removed.
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

// tableKey joins the fields with a byte that no id contains.
func (k Key) tableKey() string {
	return string(k.Version) + "\x00" + string(k.After) + "\x00" + string(k.Class)
}

// decayed returns the counts of the row decayed to now.
func (r row) decayed(halfLife time.Duration, now time.Time) Counts {
	age := now.Sub(r.updated)
	if age <= 0 || halfLife <= 0 {
		return r.counts
	}
	return r.counts.Scaled(math.Exp2(-float64(age) / float64(halfLife)))
}

// capRated scales the counts down to at most MaxRated rated answers.
func (s Settings) capRated(counts Counts) Counts {
	if s.MaxRated <= 0 || counts.Rated <= s.MaxRated {
		return counts
	}
	return counts.Scaled(s.MaxRated / counts.Rated)
}
