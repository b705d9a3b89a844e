package lavholding

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavserver"
)

const engine = lavserver.InstanceKey(7)

var start = time.Unix(1000, 0)

// TestKeysDependOnModelAndAllEarlierParts guards against a part that counts as held although the engine has read it after other parts, or
// with another model.
func TestKeysDependOnModelAndAllEarlierParts(t *testing.T) {
	is := is.New(t)
	keys := KeysOf("m", []string{"a", "b"})
	is.Equal(len(keys), 2)
	is.Equal(KeysOf("m", []string{"a", "c"})[0], keys[0])
	for _, other := range [][]Key{KeysOf("m", []string{"b", "a"}), KeysOf("m", []string{"c", "b"}), KeysOf("n", []string{"a", "b"}), KeysOf("m", []string{"ab", ""})} {
		is.True(other[1] != keys[1])
	}
}

// TestHostsLearnThroughARelayWhatAnEngineHasRead guards against parts of prompts that each host has read again because it does not know
// what other hosts have sent, and against reports that a host sends back to its relay.
func TestHostsLearnThroughARelayWhatAnEngineHasRead(t *testing.T) {
	is := is.New(t)
	keys := KeysOf("m", []string{"a", "b"})
	first, relay, second := New(), New(), New()
	first.Record(keys, engine, start)
	is.Equal(len(first.Reports(false, start)), 0) // sent, and not known to be read
	first.Share(keys, engine, start)
	relay.Apply(first.Reports(false, start.Add(200*time.Millisecond)), start.Add(200*time.Millisecond))
	second.Apply(relay.Reports(true, start.Add(400*time.Millisecond)), start.Add(400*time.Millisecond))
	is.Equal(second.Held(keys, start.Add(time.Second))[engine], 2)
	is.Equal(second.Held(keys[:1], start.Add(time.Second))[engine], 1)
	is.Equal(len(second.Reports(false, start.Add(500*time.Millisecond))), 0)
	is.Equal(second.Held(keys, start.Add(lifetime))[engine], 2)
	is.Equal(len(second.Held(keys, start.Add(lifetime+time.Millisecond))), 0) // as old as the read, not as the report
}

// TestReadsAreNotToldForEver guards against hosts that tell each other the same reads again and again.
func TestReadsAreNotToldForEver(t *testing.T) {
	is := is.New(t)
	keys := KeysOf("m", []string{"a"})
	first, second := New(), New()
	first.Share(keys, engine, start)
	messages := 0
	for now := start; now.Before(start.Add(lifetime / 3)); now = now.Add(100 * time.Millisecond) {
		first.Share(keys, engine, now) // used all the time
		told := first.Reports(true, now)
		second.Apply(told, now)
		back := second.Reports(true, now)
		first.Apply(back, now)
		if len(told)+len(back) > 0 {
			messages++
		}
	}
	is.True(messages <= int(tellTime/(100*time.Millisecond))+1)
}

// TestLatestUseCounts guards against a part that seems to have yielded although it is used all the time.
func TestLatestUseCounts(t *testing.T) {
	is := is.New(t)
	keys := KeysOf("m", []string{"a"})
	table := New()
	table.Share(keys, engine, start)
	table.Record(keys, engine, start.Add(lifetime/2))
	table.Apply([]Report{{Key: keys[0], Instance: engine, Age: lifetime / 2}}, start.Add(lifetime/2))
	is.Equal(table.Held(keys, start.Add(lifetime+time.Second))[engine], 1)
}

// TestTableAndReportsAreBounded guards against memory and datagrams that grow with the traffic.
func TestTableAndReportsAreBounded(t *testing.T) {
	is := is.New(t)
	table := New()
	key := KeysOf("m", []string{"a"})
	for i := range maxHolders + 5 {
		table.Share(key, lavserver.InstanceKey(i), start.Add(time.Duration(i)*time.Millisecond))
	}
	now := start.Add(200 * time.Millisecond)
	held := table.Held(key, now)
	is.Equal(len(held), maxHolders)
	is.Equal(held[4], 0)
	reports := table.Reports(false, now)
	is.Equal(len(reports), maxReports)
	is.Equal(reports[0].Instance, lavserver.InstanceKey(maxHolders+4)) // the latest first
	for i := range maxEntries {
		table.Share([]Key{Key(i / 100)}, lavserver.InstanceKey(i%100), now)
	}
	is.True(table.entries <= maxEntries)
	is.Equal(table.entries, countEntries(table))
	is.Equal(len(table.recent), maxRecent) // of a host that tells nobody
	for i := range 2 * maxKeys {
		table.Record([]Key{Key(i)}, engine, now)
	}
	is.Equal(table.entries, countEntries(table))
	table.Record(key, engine, now)
	table.Apply([]Report{{Key: key[0], Instance: 1 << 40, Age: time.Hour}}, now)
	is.Equal(table.Held(key, now)[1<<40], 0) // it has yielded long ago
}

func countEntries(table *Table) int {
	count := 0
	for _, holders := range table.held.Values() {
		count += len(holders)
	}
	return count
}
