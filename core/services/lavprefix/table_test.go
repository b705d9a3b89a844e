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

func TestBeliefFollowsEventsAndFades(t *testing.T) {
	is := is.New(t)
	table := New(10)
	table.Apply("a", Event{Number: 1, Kind: Stored, Key: key}, start)
	is.Equal(table.Belief("a", key, start), eventBelief)
	is.True(table.Belief("a", key, start.Add(halfLife)) < 0.5)
	table.Apply("a", Event{Number: 2, Kind: Removed, Key: key}, start)
	is.Equal(table.Belief("a", key, start), 0.0)
}

func TestGapHalvesEarlierBeliefs(t *testing.T) {
	is := is.New(t)
	table := New(10)
	table.Apply("a", Event{Number: 1, Kind: Stored, Key: key}, start)
	table.Apply("a", Event{Number: 5, Kind: Stored, Key: Key{Prefix: 8}}, start)
	is.Equal(table.Belief("a", key, start), eventBelief*gapFactor)
	table.Apply("a", Event{Number: 2, Kind: Removed, Key: key}, start)
	is.True(table.Belief("a", key, start) > 0)
}

func TestTableStaysBoundedAndForgets(t *testing.T) {
	is := is.New(t)
	table := New(10)
	for i := range 100 {
		table.Route("a", Key{Prefix: Hash(i)}, start)
	}
	is.Equal(table.Len(), 10)
	table.Tick(start.Add(10 * halfLife))
	is.Equal(table.Len(), 0)
	table.Route("a", key, start)
	table.Forget("a")
	is.Equal(table.Len(), 0)
}
