package lavholding

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavserver"
)

// prefixFleet simulates hosts that send long prompts with common beginnings to engines. An engine reads one prompt after another.
type prefixFleet struct {
	hosts, engines, prefixes int
	// told states that hosts tell each other what engines have read.
	told bool
	seed uint64
}

const (
	sharedRead = 640 * time.Millisecond
	ownRead    = 180 * time.Millisecond
	playTime   = 30 * time.Second
	tellEvery  = 300 * time.Millisecond
	playTarget = 4 * time.Second
	// playLoad is the work of all prompts, read as a whole, over what the engines can read.
	playLoad = 1.6
)

// outcome is what callers and engines got: the share of late answers, and the time that engines read.
type outcome struct {
	late float64
	read time.Duration
}

// play sends each prompt to the engine that ends it first, by what its host knows of who holds its beginning; all hosts know the work
// in progress.
func (f prefixFleet) play() outcome {
	random := rand.New(rand.NewPCG(f.seed, 3))
	tables := make([]*Table, f.hosts)
	for i := range tables {
		tables[i] = New()
	}
	free := make([]time.Time, f.engines)
	holds := make(map[Key]map[int]bool)
	interval := time.Duration(float64(sharedRead+ownRead) / playLoad / float64(f.engines))
	var result outcome
	late, count := 0, 0
	nextTell := start
	for now := start; now.Before(start.Add(playTime)); now = now.Add(interval) {
		if f.told && !now.Before(nextTell) {
			nextTell = now.Add(tellEvery)
			tell(tables, now)
		}
		keys := KeysOf("m", []string{fmt.Sprint(int(float64(f.prefixes) * random.Float64() * random.Float64()))})
		table := tables[random.IntN(f.hosts)]
		held := table.Held(keys, now)
		best, ends := 0, time.Time{}
		for engine := range free {
			work := sharedRead + ownRead
			if held[lavserver.InstanceKey(engine+1)] > 0 {
				work = ownRead
			}
			if end := later(free[engine], now).Add(work); ends.IsZero() || end.Before(ends) {
				best, ends = engine, end
			}
		}
		work := sharedRead + ownRead
		if holds[keys[0]][best] {
			work = ownRead
		}
		if holds[keys[0]] == nil {
			holds[keys[0]] = make(map[int]bool)
		}
		holds[keys[0]][best] = true
		free[best] = later(free[best], now).Add(work)
		result.read += work
		table.Record(keys, lavserver.InstanceKey(best+1), now)
		table.Share(keys, lavserver.InstanceKey(best+1), now)
		count++
		if free[best].Sub(now) > playTarget {
			late++
		}
	}
	result.late = float64(late) / float64(count)
	return result
}

// tell makes each host know what all others report.
func tell(tables []*Table, now time.Time) {
	for i, from := range tables {
		reports := from.Reports(false, now)
		for j, to := range tables {
			if i != j {
				to.Apply(reports, now)
			}
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// TestCommonBeginningsUnderOverload answers the pattern of long prompts with common beginnings that come through many hosts, at more than
// the engines could read as a whole: with hosts that tell each other who holds what, answers are in time, where each host for itself has
// the same beginnings read over and over.
func TestCommonBeginningsUnderOverload(t *testing.T) {
	is := is.New(t)
	for _, hosts := range []int{6, 24, 68} {
		var alone, told outcome
		for seed := range uint64(3) {
			fleet := prefixFleet{hosts: hosts, engines: 45, prefixes: 400, seed: seed}
			add(&alone, fleet.play())
			fleet.told = true
			add(&told, fleet.play())
		}
		t.Logf("%d hosts: late %.3f alone, %.3f told; read %v, %v", hosts, alone.late/3, told.late/3, alone.read/3, told.read/3)
		is.True(told.read < alone.read*2/3)
		is.True(alone.late/3 > 0.05)
		is.True(told.late/3 <= 0.01)
	}
}

func add(sum *outcome, result outcome) {
	sum.late += result.late
	sum.read += result.read
}
