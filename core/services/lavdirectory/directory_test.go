package lavdirectory

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavnotice"
)

const pool = lavid.ServiceID("pool")

var start = time.Unix(1000, 0)

func directory() *Directory {
	return New(Settings{ReturnGrace: 2 * time.Second, OutageGap: 3 * time.Second, SilentHold: 5 * time.Second})
}

func server(id string) lavserver.Server {
	return lavserver.Server{ID: lavid.BackendServerID(id), Service: pool, Address: "10.0.0.1:1", DataCentre: "centre-a", Born: start}
}

// usable returns the concatenated ids of the usable servers.
func usable(d *Directory, now time.Time) string {
	ids := ""
	for _, row := range d.Usable(pool, now) {
		ids += string(row.ID)
	}
	return ids
}

// TestDrainingOrRemovedServerTakesNoNewWork guards against new work for servers that drain or that a listing omits.
func TestDrainingOrRemovedServerTakesNoNewWork(t *testing.T) {
	is := is.New(t)
	d := directory()
	draining := server("b")
	draining.Draining = true
	d.ApplyListing([]lavserver.Server{server("a"), draining, server("c")}, start)
	is.Equal(usable(d, start), "ac")
	changes := d.ApplyListing([]lavserver.Server{server("a"), draining}, start.Add(time.Second))
	is.Equal(usable(d, start), "a")
	is.Equal(changes, []Change{{server("c"), ChangeGone}})
}

// TestServerWithExpiredEntryIsUsedUntilTheGraceEnds guards against running servers that are dropped after a store outage
// because their entries expired during it, and against removed servers that stay in use after the grace.
func TestServerWithExpiredEntryIsUsedUntilTheGraceEnds(t *testing.T) {
	is := is.New(t)
	d := directory()
	d.ApplyListing([]lavserver.Server{server("a")}, start)
	d.ListingFailed()
	d.ApplyListing(nil, start.Add(time.Second))
	is.Equal(usable(d, start.Add(time.Second)), "a") // its entry may have expired during the store outage
	d.ApplyListing(nil, start.Add(2*time.Second))
	is.Equal(usable(d, start.Add(2*time.Second)), "a")
	d.ApplyListing(nil, start.Add(3*time.Second+time.Millisecond))
	is.Equal(usable(d, start.Add(3*time.Second+time.Millisecond)), "")
}

// TestGapBetweenListingsCountsAsAnOutage guards against dropped servers after a pause of this host in which no read
// failed.
func TestGapBetweenListingsCountsAsAnOutage(t *testing.T) {
	is := is.New(t)
	d := directory()
	d.ApplyListing([]lavserver.Server{server("a")}, start)
	d.ApplyListing(nil, start.Add(4*time.Second)) // this host was suspended
	is.Equal(usable(d, start.Add(4*time.Second)), "a")
	d.ApplyListing(nil, start.Add(7*time.Second))
	is.Equal(usable(d, start.Add(7*time.Second)), "")
}

// TestDrainingServerStaysOutDuringAnOutage guards against a grace that brings a draining server back into use.
func TestDrainingServerStaysOutDuringAnOutage(t *testing.T) {
	is := is.New(t)
	d := directory()
	draining := server("a")
	draining.Draining = true
	d.ApplyListing([]lavserver.Server{draining}, start)
	d.ListingFailed()
	d.ApplyListing(nil, start.Add(time.Second))
	is.Equal(usable(d, start), "")
	d.ApplyListing([]lavserver.Server{draining}, start.Add(2*time.Second))
	is.Equal(usable(d, start), "")
}

// TestEvacuatedDataCentreTakesNoNewWork guards against new work for servers in an evacuated data centre.
func TestEvacuatedDataCentreTakesNoNewWork(t *testing.T) {
	is := is.New(t)
	d := directory()
	d.ApplyListing([]lavserver.Server{server("a")}, start)
	is.True(d.SetEvacuated([]lavid.DataCentreID{"centre-a"}))
	is.Equal(usable(d, start), "")
	is.True(!d.SetEvacuated([]lavid.DataCentreID{"centre-a"}))
	is.True(d.SetEvacuated(nil))
	is.Equal(usable(d, start), "a")
}

// TestRestartedServerReplacesItsEarlierInstance guards against a restarted server that inherits the state of its earlier
// instance because both have the same id.
func TestRestartedServerReplacesItsEarlierInstance(t *testing.T) {
	is := is.New(t)
	d := directory()
	d.ApplyListing([]lavserver.Server{server("a")}, start)
	restarted := server("a")
	restarted.Born = start.Add(time.Second)
	changes := d.ApplyListing([]lavserver.Server{restarted}, start.Add(2*time.Second))
	is.Equal(changes, []Change{{restarted, ChangeAppeared}})
	is.Equal(d.Usable(pool, start)[0].Server, restarted)
	is.Equal(d.Usable(pool, start)[0].FirstSeen, start.Add(2*time.Second))
}

// TestColdTimeCountsFromTheListing guards against a cold start that is measured from another time than the listing that
// states its remaining duration.
func TestColdTimeCountsFromTheListing(t *testing.T) {
	is := is.New(t)
	d := directory()
	cold := server("a")
	cold.ColdFor = 3 * time.Second
	d.ApplyListing([]lavserver.Server{cold}, start)
	row := d.Usable(pool, start)[0]
	is.True(row.Cold(start.Add(2 * time.Second)))
	is.True(!row.Cold(start.Add(3 * time.Second)))
}

// TestDisplacedServerTakesNoWorkUntilItStartsAgain guards against work for a server at whose address another one
// answers, while the old entry is still listed.
func TestDisplacedServerTakesNoWorkUntilItStartsAgain(t *testing.T) {
	is := is.New(t)
	d := directory()
	d.ApplyListing([]lavserver.Server{server("a")}, start)
	d.Displace(server("a"), start)
	is.Equal(usable(d, start), "")
	d.ApplyListing([]lavserver.Server{server("a")}, start.Add(time.Second)) // its old entry has not expired yet
	is.Equal(usable(d, start), "")
	restarted := server("a")
	restarted.Born = start.Add(time.Second)
	d.ApplyListing([]lavserver.Server{restarted}, start.Add(2*time.Second))
	is.Equal(usable(d, start), "a")
}

// TestDisplacedServerThatIsStillListedTakesWorkAgain guards against a server that takes no work for as long as it lives, because an
// answer was taken for one of another server at its address. The entry of a server that has ended expires meanwhile.
func TestDisplacedServerThatIsStillListedTakesWorkAgain(t *testing.T) {
	is := is.New(t)
	hold := 5 * time.Second
	d := New(Settings{ReturnGrace: 2 * time.Second, OutageGap: 3 * time.Second, SilentHold: hold})
	list := func(after time.Duration) string {
		d.ApplyListing([]lavserver.Server{server("a")}, start.Add(after))
		return usable(d, start.Add(after))
	}
	list(0)
	d.Displace(server("a"), start)
	is.Equal(list(time.Second), "")
	is.Equal(list(3*time.Second), "")
	is.Equal(list(5*time.Second), "")
	is.Equal(list(5500*time.Millisecond), "a")
	displaced := 6 * time.Second
	d.Displace(server("a"), start.Add(displaced))
	is.Equal(list(displaced), "")
	d.ListingFailed()
	returned := displaced + 2*time.Second
	is.Equal(list(returned), "") // entries did not expire while the store was away
	is.Equal(list(returned+3*time.Second), "")
	is.Equal(list(returned+hold), "")
	is.Equal(list(returned+hold+time.Second), "a")
}

// TestServerListedAfterOutageIsRemovedOnceUnlisted guards against a grace period for a server whose entry was listed after
// the outage and therefore did not expire during it.
func TestServerListedAfterOutageIsRemovedOnceUnlisted(t *testing.T) {
	is := is.New(t)
	d := directory()
	d.ApplyListing([]lavserver.Server{server("a"), server("b")}, start)
	d.ListingFailed()
	storeReturned := start.Add(time.Second)
	d.ApplyListing([]lavserver.Server{server("a")}, storeReturned)
	is.Equal(usable(d, storeReturned), "ab")
	// The entry of a was listed after the outage, so it did not expire during it.
	d.ApplyListing(nil, storeReturned.Add(800*time.Millisecond))
	is.Equal(usable(d, storeReturned.Add(800*time.Millisecond)), "b")
}

// TestGraceEndsWithoutAnotherListing guards against a grace that lasts until the next listing.
func TestGraceEndsWithoutAnotherListing(t *testing.T) {
	is := is.New(t)
	d := directory()
	d.ApplyListing([]lavserver.Server{server("a")}, start)
	d.ListingFailed()
	storeReturned := start.Add(time.Second)
	d.ApplyListing(nil, storeReturned)
	is.Equal(usable(d, storeReturned.Add(1999*time.Millisecond)), "a")
	is.Equal(usable(d, storeReturned.Add(2*time.Second)), "")
}

// TestLaterServerAtAnAddressReplacesTheEarlierOne answers the pattern of many servers that end without notice and return at
// their addresses under new IDs: each host would learn by a refused request of its own that an earlier one has gone.
func TestLaterServerAtAnAddressReplacesTheEarlierOne(t *testing.T) {
	is := is.New(t)
	d := directory()
	earlier, other, later := server("a"), server("b"), server("c")
	other.Address = "10.0.0.2:1"
	later.Born = start.Add(5 * time.Second)
	d.ApplyListing([]lavserver.Server{earlier, other}, start)
	is.Equal(usable(d, start), "ab")
	now := start.Add(6 * time.Second)
	d.ApplyListing([]lavserver.Server{later, other, earlier}, now)
	is.Equal(usable(d, now), "bc")
	d.ApplyListing([]lavserver.Server{earlier, other}, now.Add(time.Second))
	is.Equal(usable(d, now.Add(time.Second)), "b") // another server had its address
	withoutBirth := server("d")
	withoutBirth.Born, withoutBirth.Address = time.Time{}, "10.0.0.3:1"
	d.ApplyListing([]lavserver.Server{other, withoutBirth}, now.Add(2*time.Second))
	unknown := withoutBirth
	unknown.ID = "e"
	d.ApplyListing([]lavserver.Server{other, withoutBirth, unknown}, now.Add(3*time.Second))
	is.Equal(usable(d, now.Add(3*time.Second)), "be") // the one seen later
}

// TestServerOfACopyDoesNotReplaceTheLaterOneAtItsAddress guards against live servers that are never used again since the store came back
// from a copy, which lists servers that had their addresses before.
func TestServerOfACopyDoesNotReplaceTheLaterOneAtItsAddress(t *testing.T) {
	for _, hostSawBoth := range []bool{true, false} {
		is := is.New(t)
		d := directory()
		earlier, later := server("a"), server("b")
		earlier.Born, later.Born = time.Time{}, time.Time{}
		now := start
		if hostSawBoth {
			d.ApplyListing([]lavserver.Server{earlier}, now)
		}
		now = now.Add(time.Second)
		d.ApplyListing([]lavserver.Server{later}, now)
		d.StoreReturned(now)
		now = now.Add(time.Second)
		d.ApplyListing([]lavserver.Server{earlier, later}, now)
		is.True(d.MayTake(later, now))
		d.ApplyListing([]lavserver.Server{later}, now.Add(time.Second))
		is.Equal(usable(d, now.Add(time.Second)), "b")
		// A server that appears afterwards has started later.
		next := server("c")
		next.Born = time.Time{}
		d.ApplyListing([]lavserver.Server{later, next}, now.Add(2*time.Second))
		is.Equal(usable(d, now.Add(2*time.Second)), "c")
	}
}

// TestPartsOfTheFirstListingOrderNoServers guards against live servers that are never used, as a later part of the first listing of a
// starting host has one that had their address before.
func TestPartsOfTheFirstListingOrderNoServers(t *testing.T) {
	is := is.New(t)
	d := directory()
	earlier, later := server("a"), server("b")
	earlier.Born, later.Born = time.Time{}, time.Time{}
	d.ApplyPart([]lavserver.Server{later}, start)
	now := start.Add(time.Second)
	d.ApplyListing([]lavserver.Server{later, earlier}, now)
	is.True(d.MayTake(later, now))
}

// TestServerThatLeavesTakesNoWorkWhateverAListingShows guards against listings that are older than a server's own statement, or
// that omit it for a moment.
func TestServerThatLeavesTakesNoWorkWhateverAListingShows(t *testing.T) {
	is := is.New(t)
	d := directory()
	other := server("b")
	other.Address = "10.0.0.2:1"
	d.ApplyListing([]lavserver.Server{server("a"), other}, start)
	is.True(d.Leave(server("a"), start))
	is.True(!d.MayTake(server("a"), start))
	d.ApplyListing([]lavserver.Server{server("a"), other}, start.Add(time.Second))
	is.Equal(usable(d, start.Add(time.Second)), "b")
	d.ApplyListing([]lavserver.Server{other}, start.Add(2*time.Second))
	d.ApplyListing([]lavserver.Server{server("a"), other}, start.Add(3*time.Second))
	is.Equal(usable(d, start.Add(3*time.Second)), "b")
	restarted := server("a")
	restarted.Born = start.Add(4 * time.Second)
	d.ApplyListing([]lavserver.Server{restarted, other}, start.Add(5*time.Second))
	is.Equal(usable(d, start.Add(5*time.Second)), "ab") // another instance
}

func TestPauseEndsByTimeOrWithTheInstance(t *testing.T) {
	is := is.New(t)
	d := directory()
	first, second := server("a"), server("b")
	second.Address = "10.0.0.2:1"
	d.ApplyListing([]lavserver.Server{first, second}, start)
	d.Pause(first, 4*time.Second, start)
	d.ApplyListing([]lavserver.Server{first, second}, start.Add(time.Second))
	is.Equal(usable(d, start.Add(time.Second)), "b")
	is.Equal(d.PauseLeft(pool, start), time.Duration(0))
	d.Pause(second, 3*time.Second, start)
	is.Equal(usable(d, start.Add(time.Second)), "")
	is.Equal(d.PauseLeft(pool, start.Add(time.Second)), 2*time.Second)
	is.Equal(usable(d, start.Add(3*time.Second)), "b")
	is.Equal(usable(d, start.Add(4*time.Second)), "ab")
	d.Pause(first, time.Minute, start)
	restarted := first
	restarted.Born = start.Add(4 * time.Second)
	d.ApplyListing([]lavserver.Server{restarted, second}, start.Add(5*time.Second))
	is.Equal(usable(d, start.Add(5*time.Second)), "ab")
}

// TestPauseAskedOfAnotherHostIsAdvice covers a pause that this host was not asked for: it may still use the server.
func TestPauseAskedOfAnotherHostIsAdvice(t *testing.T) {
	is := is.New(t)
	d := directory()
	d.ApplyListing([]lavserver.Server{server("a")}, start)
	d.Notices().Apply([]lavnotice.Report{{Instance: server("a").Instance(), Pause: time.Second}}, start)
	is.True(d.Usable(pool, start)[0].Relieve)
	is.True(!d.Usable(pool, start.Add(time.Second))[0].Relieve)
	is.Equal(d.PauseLeft(pool, start), time.Duration(0))
}

// TestServersThatHadLeftAreNotUsedAfterTheStoresReturn guards against servers that drained or had left, and that take work again because
// the store came back from a copy in which they are ready, and against servers that the copy lacks and that are dropped at once.
func TestServersThatHadLeftAreNotUsedAfterTheStoresReturn(t *testing.T) {
	is := is.New(t)
	d := New(Settings{ReturnGrace: 2 * time.Second, OutageGap: 3 * time.Second, SilentHold: 5 * time.Second})
	server := func(id string) lavserver.Server {
		return lavserver.Server{ID: lavid.BackendServerID(id), Service: "pool", Address: id, Born: time.Unix(500, 0)}
	}
	now := time.Unix(1000, 0)
	draining := server("draining")
	d.ApplyListing([]lavserver.Server{server("left"), draining, server("sound")}, now)
	draining.Draining = true
	now = now.Add(time.Second)
	d.ApplyListing([]lavserver.Server{draining, server("sound"), server("new")}, now)
	now = now.Add(time.Second)
	d.StoreReturned(now)
	copied := []lavserver.Server{server("left"), server("draining"), server("sound")}
	d.ApplyListing(copied, now)
	usable := func() []lavid.BackendServerID {
		ids := []lavid.BackendServerID{}
		for _, row := range d.Usable("pool", now) {
			ids = append(ids, row.ID)
		}
		return ids
	}
	is.Equal(usable(), []lavid.BackendServerID{"new", "sound"})
	now = now.Add(3 * time.Second)
	d.ApplyListing(copied, now)
	is.Equal(usable(), []lavid.BackendServerID{"sound"}) // it did not write its row again
	started := server("left")
	started.Born = now
	d.ApplyListing(append(copied, started)[1:], now)
	is.Equal(usable(), []lavid.BackendServerID{"left", "sound"}) // a new instance
}

// TestSilentServersAreUsedAgainAfterTheStoresReturn guards against servers that are given up for good because their entries had lapsed while
// they could not reach the store, shortly before it came back from a copy.
func TestSilentServersAreUsedAgainAfterTheStoresReturn(t *testing.T) {
	silent, other := server("a"), server("b")
	other.Address = "10.0.0.2:1"
	all, without := []lavserver.Server{silent, other}, []lavserver.Server{other}
	for _, c := range []struct {
		name     string
		listings [][]lavserver.Server // one each second from the store's return on
		again    time.Duration        // when the server is used again
	}{
		{"listed again after it was omitted", [][]lavserver.Server{all, without, all}, 2 * time.Second},
		{"not in the copy", [][]lavserver.Server{without, all}, time.Second},
		{"listed on and on", [][]lavserver.Server{all, all}, 5 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			d := directory()
			d.ApplyListing(all, start)
			d.ApplyListing(without, start.Add(time.Second))
			returned := start.Add(2 * time.Second)
			d.StoreReturned(returned)
			for passed := time.Duration(0); passed <= 6*time.Second; passed += time.Second {
				now := returned.Add(passed)
				listing := c.listings[min(int(passed/time.Second), len(c.listings)-1)]
				d.ApplyListing(listing, now)
				is.Equal(d.MayTake(silent, now), passed >= c.again)
				is.Equal(usable(d, now), map[bool]string{true: "ab", false: "b"}[passed >= c.again])
			}
		})
	}
}

// TestUsableServersFollowEachChangeAtOnce guards against a server that is used after it drained, was displaced or evacuated, left or asked
// for a pause, because the usable servers are kept for the next choices.
func TestUsableServersFollowEachChangeAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	server := lavserver.Server{ID: "a", Service: "pool", Address: "a", DataCentre: "centre"}
	for _, change := range []func(*Directory){
		func(d *Directory) {
			draining := server
			draining.Draining = true
			d.ApplyListing([]lavserver.Server{draining}, now)
		},
		func(d *Directory) { d.ApplyListing(nil, now) },
		func(d *Directory) { d.SetEvacuated([]lavid.DataCentreID{"centre"}) },
		func(d *Directory) { d.Displace(server, start) },
		func(d *Directory) { d.Leave(server, now) },
		func(d *Directory) { d.Pause(server, time.Second, now) },
		func(d *Directory) {
			d.Notices().Apply([]lavnotice.Report{{Instance: server.Instance(), Leaving: true}}, now)
		},
	} {
		d := New(Settings{ReturnGrace: 2 * time.Second, OutageGap: 3 * time.Second, SilentHold: 5 * time.Second})
		d.ApplyListing([]lavserver.Server{server}, now)
		is.Equal(len(d.Usable("pool", now)), 1)
		is.Equal(len(d.Usable("pool", now)), 1)
		change(d)
		is.Equal(len(d.Usable("pool", now)), 0)
	}
}
