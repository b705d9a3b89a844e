package lavrestore

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
)

var start = time.Unix(1000, 0)

func inEra(era, version int) lavrevision.Revision {
	return lavrevision.Revision{Era: lavrevision.Era(era), Version: lavrevision.Version(version)}
}

func config(number, era, version int) Row {
	return Row{Key: "config", Value: []byte{byte(number)}, Number: lavid.ConfigNumber(number), Written: inEra(era, version)}
}

func evacuation(era, version int) Row {
	return Row{Key: "evacuate/a", Value: []byte("{}"), Written: inEra(era, version)}
}

func keysOf(rows []Row) []string {
	keys := []string{}
	for _, row := range rows {
		keys = append(keys, row.Key)
	}
	return keys
}

// TestRowsThatTheCopyLacksStayInForce guards against a withdrawn key that is accepted again, and a data centre that takes work
// again, because the store came back from a copy from before.
func TestRowsThatTheCopyLacksStayInForce(t *testing.T) {
	is := is.New(t)
	var k Keeper
	k.Merge([]Row{config(9, 1, 80), evacuation(1, 90)}, inEra(1, 100), start)
	returned := start.Add(time.Second)
	rows := k.Merge([]Row{config(7, 2, 60)}, inEra(2, 70), returned)
	is.Equal(rows, []Row{config(9, 1, 80), evacuation(1, 90)})
	is.Equal(k.Held(), []string{"config", "evacuate/a"})
	// The operator writes both again, and later takes the data centre back.
	rows = k.Merge([]Row{config(9, 2, 75), evacuation(2, 76)}, inEra(2, 77), returned.Add(2*time.Second))
	is.Equal(rows, []Row{config(9, 2, 75), evacuation(2, 76)})
	is.Equal(len(k.Held()), 0)
	rows = k.Merge([]Row{config(9, 2, 75)}, inEra(2, 90), returned.Add(3*time.Second))
	is.Equal(keysOf(rows), []string{"config"})
}

// TestHeldRowsEnd guards against a data centre that stays without work for good as the operator does not write its lost row again,
// while the number of the configuration never falls.
func TestHeldRowsEnd(t *testing.T) {
	is := is.New(t)
	var k Keeper
	k.Merge([]Row{config(9, 1, 80), evacuation(1, 90)}, inEra(1, 100), start)
	k.Merge([]Row{config(7, 2, 60)}, inEra(2, 70), start)
	is.True(!k.Expired(start.Add(HoldTime - time.Second)))
	is.True(k.Expired(start.Add(HoldTime)))
	rows := k.Merge([]Row{config(7, 2, 60)}, inEra(2, 70), start.Add(HoldTime))
	is.Equal(rows, []Row{config(9, 1, 80)})
	is.True(!k.Expired(start.Add(time.Hour)))
}

// TestOrderOfACopyDoesNotReplaceALaterOne guards against a cutover that begins anew as the copy holds the order before the last one.
func TestOrderOfACopyDoesNotReplaceALaterOne(t *testing.T) {
	is := is.New(t)
	order := func(release string, era, version int) Row {
		return Row{Key: "rollout/pool", Value: []byte(release), Written: inEra(era, version)}
	}
	var k Keeper
	k.Merge([]Row{order("v3", 1, 90)}, inEra(1, 100), start)
	is.Equal(k.Merge([]Row{order("v2", 2, 40)}, inEra(2, 70), start), []Row{order("v3", 1, 90)})
	is.Equal(k.Merge([]Row{order("v4", 2, 75)}, inEra(2, 80), start.Add(time.Second)), []Row{order("v4", 2, 75)}) // written since
}

// TestStartedHostTakesOverWhatOthersHold guards against a host that started after the return, knows the copy only, and drops what
// other hosts hold at its next read.
func TestStartedHostTakesOverWhatOthersHold(t *testing.T) {
	is := is.New(t)
	var k Keeper
	k.Merge([]Row{config(7, 2, 60)}, inEra(2, 70), start)
	k.Merge([]Row{config(9, 1, 80), evacuation(1, 90)}, inEra(2, 71), start.Add(time.Second)) // from another host
	rows := k.Merge([]Row{config(7, 2, 60)}, inEra(2, 72), start.Add(2*time.Second))          // read from the store
	is.Equal(rows, []Row{config(9, 1, 80), evacuation(1, 90)})
}

// TestStartedHostAdoptsHeldRowsOfAnEarlierRead guards against a withdrawn key and an evacuated data centre that are in use again at a host
// that started after the return and read the store later than those that hold them. What they hold counts, and nothing else of their read.
func TestStartedHostAdoptsHeldRowsOfAnEarlierRead(t *testing.T) {
	is := is.New(t)
	var k Keeper
	rewritten := Row{Key: "rollout/pool", Value: []byte("v4"), Written: inEra(2, 80)}
	k.Merge([]Row{config(7, 2, 60), rewritten}, inEra(2, 90), start)
	held := Row{Key: "rollout/pool", Value: []byte("v3"), Written: inEra(1, 95)}
	removed := Row{Key: "evacuate/b", Value: []byte("{}"), Written: inEra(2, 60)} // taken back since the other host's read
	rows, changed := k.Adopt([]Row{config(9, 1, 80), evacuation(1, 90), held, removed}, inEra(2, 70), start)
	is.True(changed)
	is.Equal(rows, []Row{config(9, 1, 80), evacuation(1, 90), rewritten})
	_, changed = k.Adopt([]Row{config(9, 1, 80), evacuation(1, 90)}, inEra(2, 70), start)
	is.True(!changed)
	rows = k.Merge([]Row{config(7, 2, 60), rewritten}, inEra(2, 91), start.Add(HoldTime-1)) // read from the store
	is.Equal(rows, []Row{config(9, 1, 80), evacuation(1, 90), rewritten})
	k.Merge([]Row{config(7, 2, 60)}, inEra(2, 92), start.Add(HoldTime))
	rows, changed = k.Adopt([]Row{evacuation(1, 90)}, inEra(2, 93), start.Add(HoldTime))
	is.True(!changed)
	is.Equal(keysOf(rows), []string{"config"})
}

// TestRowsAreDroppedAtOnceWithoutAReturn guards against rows that stay in force although an operator has deleted them.
func TestRowsAreDroppedAtOnceWithoutAReturn(t *testing.T) {
	is := is.New(t)
	for _, era := range []int{0, 3} {
		var k Keeper
		k.Merge([]Row{config(9, era, 80), evacuation(era, 90)}, inEra(era, 100), start)
		rows := k.Merge([]Row{config(9, era, 80)}, inEra(era, 101), start.Add(time.Second))
		is.Equal(keysOf(rows), []string{"config"})
	}
}
