package lavprefix

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	key   = Key{Version: "v", Prefix: 7}
)

func TestProbabilityFollowsEventsAndDecays(t *testing.T) {
	is := is.New(t)
	table := New(10)
	table.Apply("a", Event{Number: 1, Kind: Stored, Key: key}, start)
	is.Equal(table.Probability("a", key, start), eventProbability)
	is.True(table.Probability("a", key, start.Add(halfLife)) < 0.5)
	table.Apply("a", Event{Number: 2, Kind: Removed, Key: key}, start)
	is.Equal(table.Probability("a", key, start), 0.0)
}

// A missing event may have been a removal, so a gap lowers the earlier probabilities. A late event from within the gap has
// no effect.
func TestEventGapHalvesEarlierProbabilities(t *testing.T) {
	is := is.New(t)
	table := New(10)
	table.Apply("a", Event{Number: 1, Kind: Stored, Key: key}, start)
	table.Apply("a", Event{Number: 5, Kind: Stored, Key: Key{Prefix: 8}}, start)
	is.Equal(table.Probability("a", key, start), eventProbability*gapFactor)
	table.Apply("a", Event{Number: 2, Kind: Removed, Key: key}, start)
	is.True(table.Probability("a", key, start) > 0)
}

func TestTableIsBoundedAndDeletesOldEstimates(t *testing.T) {
	is := is.New(t)
	table := New(10)
	for i := range 100 {
		table.RecordRoute("a", Key{Prefix: Hash(i)}, start)
	}
	is.Equal(table.Len(), 10)
	table.Tick(start.Add(10 * halfLife))
	is.Equal(table.Len(), 0)
	table.RecordRoute("a", key, start)
	table.ForgetServer("a")
	is.Equal(table.Len(), 0)
}
