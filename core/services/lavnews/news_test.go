package lavnews

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
)

var start = time.Unix(1000, 0)

// at returns the revision with a version in the first era.
func at(version int) lavrevision.Revision {
	return lavrevision.Revision{Version: lavrevision.Version(version)}
}

func TestEditionIsJudgedByVersionDigestAndAge(t *testing.T) {
	is := is.New(t)
	var k Knowledge
	is.Equal(k.Judge(Edition{Revision: at(1), Digest: 1}, start), Fetch)
	is.True(k.Learn(at(5), 10, start, ""))
	now := start.Add(time.Second)
	is.Equal(k.Judge(Edition{Revision: at(4), Digest: 9}, now), Ignore)                          // older than the known one
	is.Equal(k.Judge(Edition{Revision: at(6), Digest: 9, Age: 2 * time.Second}, now), Ignore)    // read earlier
	is.Equal(k.Judge(Edition{Revision: at(6), Digest: 10, Age: time.Millisecond}, now), Confirm) // other rows have changed
	is.Equal(k.Judge(Edition{Revision: at(6), Digest: 11, Age: time.Millisecond}, now), Fetch)
}

// TestNoHostActsOnALowerVersion guards against an old listing of a relay that was suspended, and against a host that stays
// with the versions of a store that was replaced.
func TestNoHostActsOnALowerVersion(t *testing.T) {
	is := is.New(t)
	var k Knowledge
	is.True(k.Learn(at(5), 10, start, ""))
	is.True(!k.Learn(at(4), 11, start.Add(time.Second), "relay"))
	is.True(!k.Learn(at(6), 11, start.Add(-time.Second), "relay"))
	is.True(k.Learn(at(6), 11, start.Add(time.Second), "relay"))
	is.Equal(k.Source(), lavid.HostID("relay"))
	is.True(k.Learn(at(2), 12, start.Add(2*time.Second), "")) // an own read shows another store
	is.Equal(k.Edition(start.Add(2*time.Second)).Version, lavrevision.Version(2))
}

// TestLaterEraReplacesHigherVersions guards against hosts that keep to what they know after the store came back from a copy, until its
// versions have caught up, and against news of a host that has not heard of the return.
func TestLaterEraReplacesHigherVersions(t *testing.T) {
	is := is.New(t)
	var k Knowledge
	is.True(k.Learn(lavrevision.Revision{Era: 1, Version: 90}, 1, start, ""))
	now := start.Add(time.Second)
	returned := Edition{Revision: lavrevision.Revision{Era: 2, Version: 40}, Digest: 2, Age: time.Millisecond}
	is.Equal(k.Judge(returned, now), Fetch)
	is.True(k.Learn(returned.Revision, returned.Digest, now, "relay"))
	is.Equal(k.Era(), lavrevision.Era(2))
	late := Edition{Revision: lavrevision.Revision{Era: 1, Version: 95}, Digest: 3}
	is.Equal(k.Judge(late, now.Add(time.Second)), Ignore)
	is.True(!k.Learn(late.Revision, late.Digest, now.Add(time.Second), "relay"))
}

func TestReadersReadBeforeOthersAndRetryMoreOften(t *testing.T) {
	is := is.New(t)
	schedule := Schedule{Host: "a", Bound: 4 * time.Second}
	var k Knowledge
	is.True(!schedule.Due(&k, NotReader).After(start)) // nothing is known
	k.Attempted(start)
	is.True(k.Learn(at(1), 1, start, ""))
	reader, other := schedule.Due(&k, 0).Sub(start), schedule.Due(&k, NotReader).Sub(start)
	is.True(reader >= 800*time.Millisecond && reader <= 1200*time.Millisecond)
	is.True(other >= 2200*time.Millisecond && other <= 2600*time.Millisecond)
	is.True(k.Learn(at(1), 1, start.Add(3500*time.Millisecond), "b"))
	is.Equal(schedule.Due(&k, 0), start.Add(4*time.Second)) // a reader reads by itself once in the bound
	for range 5 {
		k.Attempted(start.Add(10 * time.Second))
	}
	is.Equal(schedule.Due(&k, 0), start.Add(10800*time.Millisecond))
	is.Equal(schedule.Due(&k, NotReader), start.Add(11600*time.Millisecond))
}

// simHost is a host of the simulated data centre.
type simHost struct {
	id        lavid.HostID
	knowledge Knowledge
	schedule  Schedule
	rank      Rank
	// stored is the version that the host last read or fetched, and reachable since when it has reached the store.
	stored         int
	reachableSince time.Time
	reaches        bool
	silent         bool
	reads          int
}

const (
	simBound = 2 * time.Second
	simStep  = 10 * time.Millisecond
	// newsInterval is the time between two totals of a relay.
	newsInterval = 300 * time.Millisecond
	// contactTime is how long a host has to reach the store before its bound applies.
	contactTime = 3 * time.Second
)

// TestChangesAreKnownWithinTheBound draws hosts that lose and find the store, relays that fall silent and changes of rank. A
// change must be known within the bound at each host that has reached the store for long enough, whatever its readers do, and
// none may go back to an older state.
func TestChangesAreKnownWithinTheBound(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "hosts")
		hosts := make([]*simHost, count)
		for i := range hosts {
			id := lavid.HostID(fmt.Sprint("host-", i))
			hosts[i] = &simHost{id: id, schedule: Schedule{Host: id, Bound: simBound}, rank: NotReader, reaches: true, reachableSince: start.Add(-contactTime)}
			if i < 2 {
				hosts[i].rank = Rank(i)
			}
		}
		now, version, changedAt, nextNews := start, 1, start, start
		disturb := func() {
			host := hosts[rapid.IntRange(0, count-1).Draw(t, "host")]
			switch rapid.SampledFrom([]string{"store", "silent", "rank", "change", "all"}).Draw(t, "event") {
			case "store":
				host.reaches, host.reachableSince = !host.reaches, now
			case "silent":
				host.silent = !host.silent
			case "rank":
				host.rank = Rank(rapid.IntRange(-1, 1).Draw(t, "rank"))
			case "all":
				for _, each := range hosts {
					each.reaches, each.reachableSince = !hosts[0].reaches, now
				}
			case "change":
				version, changedAt = version+1, now
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			disturb()
			for range rapid.IntRange(1, 400).Draw(t, "steps") {
				now = now.Add(simStep)
				for _, host := range hosts {
					host.step(t, version, now)
				}
				if !now.Before(nextNews) {
					nextNews = now.Add(newsInterval)
					spread(t, hosts, now)
				}
				for _, host := range hosts {
					inTouch := host.reaches && now.Sub(host.reachableSince) >= contactTime
					if inTouch && host.stored < version && now.Sub(changedAt) > simBound {
						t.Fatalf("%s knows version %d of %d, %s after the change", host.id, host.stored, version, now.Sub(changedAt))
					}
				}
			}
		}
	})
}

// step lets a host read if that is due.
func (h *simHost) step(t *rapid.T, version int, now time.Time) {
	if now.Before(h.schedule.Due(&h.knowledge, h.rank)) {
		return
	}
	h.knowledge.Attempted(now)
	h.reads++
	if h.reaches && h.knowledge.Learn(at(version), Digest(version), now, "") {
		h.set(t, version)
	}
}

func (h *simHost) set(t *rapid.T, version int) {
	if version < h.stored {
		t.Fatalf("%s goes back from version %d to %d", h.id, h.stored, version)
	}
	h.stored = version
}

// spread lets the readers tell the others.
func spread(t *rapid.T, hosts []*simHost, now time.Time) {
	for _, reader := range hosts {
		edition := reader.knowledge.Edition(now)
		if reader.rank == NotReader || reader.silent || edition == nil {
			continue
		}
		for _, host := range hosts {
			if host == reader || host.knowledge.Judge(*edition, now) == Ignore {
				continue
			}
			if host.knowledge.Learn(edition.Revision, edition.Digest, now.Add(-edition.Age), reader.id) {
				host.set(t, reader.stored)
			}
		}
	}
}

// TestReadsDoNotGrowWithHosts guards against a rate of reads that grows with the number of hosts of a data centre.
func TestReadsDoNotGrowWithHosts(t *testing.T) {
	is := is.New(t)
	reads := func(count int) int {
		hosts := make([]*simHost, count)
		for i := range hosts {
			id := lavid.HostID(fmt.Sprint("host-", i))
			hosts[i] = &simHost{id: id, schedule: Schedule{Host: id, Bound: simBound}, rank: NotReader, reaches: true}
			if i < 2 {
				hosts[i].rank = Rank(i)
			}
		}
		now, nextNews, sum := start, start, 0
		for range 3000 {
			now = now.Add(simStep)
			for _, host := range hosts {
				host.step(nil, 1, now)
			}
			if !now.Before(nextNews) {
				nextNews = now.Add(newsInterval)
				spread(nil, hosts, now)
			}
		}
		for _, host := range hosts {
			sum += host.reads
		}
		return sum
	}
	few, many := reads(3), reads(300)
	t.Logf("%d reads of 3 hosts and %d of 300 in 30 s, which is %d for the first read of each", few, many, 300-3)
	is.True(many-few <= 300) // each host reads once at its start
}
