package lavcutover

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
)

// inEra returns the revision with a version in an era.
func inEra(era, version int) lavrevision.Revision {
	return lavrevision.Revision{Era: lavrevision.Era(era), Version: lavrevision.Version(version)}
}

// TestStoppedReleaseStaysStoppedWhenTheStoreReturnsFromACopy guards against a release that serves again because the store came back
// from a copy in which its cutover still runs, and against a row that is never written again.
func TestStoppedReleaseStaysStoppedWhenTheStoreReturnsFromACopy(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	is.True(c.ApplyRow(Progress{Service: pool, To: "v2", State: Stopped}, inEra(1, 120), start))
	c.StoreReturned(2, start)
	is.True(!c.ApplyRow(Progress{Service: pool, To: "v2", State: Running}, inEra(2, 90), start))
	is.Equal(c.Preferences(pool, "session", start)("v2"), Never)
	changes := c.Tick(firstRank, idle, start)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Progress.State, Stopped)
	is.Equal(changes[0].Revision, inEra(2, 90)) // the condition is that of the row in the copy
	// Once it is written, nothing is due any more.
	c.ApplyRow(changes[0].Progress, inEra(2, 130), start)
	is.Equal(len(c.Tick(firstRank, idle, start.Add(time.Minute))), 0)
}

// TestMissingRowIsWrittenAgainByTheFirstHost guards against a cutover that is lost with the copy, against one that begins anew, and
// against several hosts that write it.
func TestMissingRowIsWrittenAgainByTheFirstHost(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	is.True(c.ApplyRow(Progress{Service: pool, To: "v2", State: Complete}, inEra(1, 50), start))
	c.StoreReturned(2, start)
	second := func(lavid.ServiceID) int { return 1 }
	is.True(c.RowsUnknown(firstRank, start))
	is.True(!c.RowsUnknown(second, start))
	c.ConfirmRows(nil, inEra(2, 40), start)
	is.True(!c.RowsUnknown(firstRank, start))
	is.Equal(len(c.Tick(second, idle, start)), 0)
	changes := c.Tick(firstRank, idle, start)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Progress.State, Complete)
	is.Equal(changes[0].Revision, inEra(2, 0)) // there must be no row
}

// TestHostThatKnowsOnlyTheCopyTakesOverTheLaterState guards against a host that started after the return of the store and goes on with
// a cutover that others know to have ended.
func TestHostThatKnowsOnlyTheCopyTakesOverTheLaterState(t *testing.T) {
	is := is.New(t)
	c := newCutovers()
	c.StoreReturned(2, start)
	c.SetOrders([]Order{{Service: pool, To: "v2", Duration: 24 * time.Second}}, start)
	is.Equal(len(c.Tick(firstRank, idle, start.Add(time.Second))), 0) // others may know that it has begun
	is.True(c.ApplyRow(Progress{Service: pool, To: "v2", State: Running}, inEra(2, 90), start))
	is.True(c.ApplyRow(Progress{Service: pool, To: "v2", State: Stopped}, inEra(1, 120), start))
	is.Equal(c.Preferences(pool, "session", start)("v2"), Never)
	is.Equal(c.Tick(firstRank, idle, start)[0].Progress.State, Stopped)
}

// TestStoppedReleaseIsNotCompletedByAHostThatKnowsOnlyTheCopy guards against a final state that a host with less knowledge writes
// before the lost one is written again.
func TestStoppedReleaseIsNotCompletedByAHostThatKnowsOnlyTheCopy(t *testing.T) {
	is := is.New(t)
	c := runningCutovers()
	c.ApplyRow(Progress{Service: pool, To: "v2", State: Stopped}, inEra(1, 120), start)
	c.ApplyRow(Progress{Service: pool, To: "v2", State: Running}, inEra(2, 90), start)
	is.True(!c.ApplyRow(Progress{Service: pool, To: "v2", State: Complete}, inEra(2, 95), start))
	is.Equal(c.Preferences(pool, "session", start)("v2"), Never)
	change := c.Tick(firstRank, idle, start)[0]
	is.Equal(change.Progress.State, Stopped)
	is.Equal(change.Revision, inEra(2, 95))
}

// TestSumsKeepTheLaterStateOfACutover guards against a total in which the row of a copy hides that another host knows the release to be
// stopped.
func TestSumsKeepTheLaterStateOfACutover(t *testing.T) {
	is := is.New(t)
	stopped := Status{Progress: Progress{Service: pool, To: "v2", State: Stopped}, Revision: inEra(1, 120)}
	copied := Status{Progress: Progress{Service: pool, To: "v2", State: Running}, Revision: inEra(2, 90)}
	written := Status{Progress: Progress{Service: pool, To: "v2", State: Stopped}, Revision: inEra(2, 130)}
	is.True(stopped.Supersedes(copied))
	is.True(!copied.Supersedes(stopped))
	is.True(written.Supersedes(stopped))
	is.True(written.Supersedes(copied))
}

// returnHost is a host of the fleet before a store that returns from copies.
type returnHost struct {
	cutovers *Cutovers
	// tells are the statuses that the host heard and may pass on; reaches states whether it reaches the store.
	reaches bool
}

// returnStore is a store with the row of one cutover.
type returnStore struct {
	era, version int
	row          *Progress
	rowVersion   int
}

func (s *returnStore) write(change Change) (lavrevision.Revision, bool) {
	expected := inEra(s.era, s.rowVersion)
	if change.Revision != expected {
		return lavrevision.Revision{}, false
	}
	s.version++
	progress := change.Progress
	s.row, s.rowVersion = &progress, s.version
	return inEra(s.era, s.version), true
}

// TestCutoversSurviveReturnsOfTheStore draws fleets whose store returns from copies again and again, while hosts lose the store,
// restart and tell each other. As long as one host that knows the end of a cutover runs, no host that knows it too uses a
// stopped release again, exactly the lost rows are written again, and all hosts agree once the fleet is calm.
func TestCutoversSurviveReturnsOfTheStore(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		store := &returnStore{era: 1}
		now := start
		order := []Order{{Service: pool, To: "v2", Duration: time.Hour}}
		hosts := make([]*returnHost, rapid.IntRange(2, 6).Draw(t, "hosts"))
		begin := func(i int) {
			c := newCutovers()
			c.StoreReturned(lavrevision.Era(store.era), now)
			c.SetOrders(order, now)
			hosts[i] = &returnHost{cutovers: c, reaches: true}
		}
		for i := range hosts {
			begin(i)
		}
		copies := []returnStore{*store}
		stopped := false
		read := func(host *returnHost) {
			stored := map[lavid.ServiceID]bool{}
			if store.row != nil {
				stored[pool] = true
				host.cutovers.ApplyRow(*store.row, inEra(store.era, store.rowVersion), now)
			}
			host.cutovers.StoreReturned(lavrevision.Era(store.era), now)
			host.cutovers.ConfirmRows(stored, inEra(store.era, store.version), now)
		}
		step := func() {
			now = now.Add(100 * time.Millisecond)
			for rank, host := range hosts {
				position := func(lavid.ServiceID) int { return rank }
				if host.reaches && host.cutovers.RowsUnknown(position, now) {
					read(host)
				}
				for _, change := range host.cutovers.Tick(position, busy, now) {
					if !host.reaches {
						continue
					}
					if revision, written := store.write(change); written {
						host.cutovers.ApplyRow(change.Progress, revision, now)
					} else {
						read(host)
					}
				}
			}
			for _, from := range hosts {
				for _, to := range hosts {
					for _, status := range from.cutovers.Statuses() {
						to.cutovers.StoreReturned(status.Era, now)
						if status.Progress.State != "" {
							to.cutovers.ApplyRow(status.Progress, status.Revision, now)
						}
					}
				}
			}
			if store.row != nil && store.row.State == Stopped {
				stopped = true
			}
			if !stopped {
				return
			}
			for i, host := range hosts {
				if host.cutovers.Preferences(pool, "session", now)("v2") == Preferred {
					t.Fatalf("host %d prefers a stopped release at %v", i, now.Sub(start))
				}
			}
		}
		for range rapid.IntRange(1, 15).Draw(t, "events") {
			host := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			switch rapid.SampledFrom([]string{"copy", "return", "stop", "store", "restart"}).Draw(t, "event") {
			case "copy":
				copies = append(copies, *store)
			case "return":
				era := store.era + 1
				*store = copies[rapid.IntRange(0, len(copies)-1).Draw(t, "of")]
				store.era = era
				store.version += rapid.IntRange(0, 3).Draw(t, "other writes") // versions are given out again
				copies = []returnStore{*store}
				read(hosts[host])
			case "stop":
				hosts[host].cutovers.mu.Lock()
				hosts[host].cutovers.rows[pool].stopped = true
				hosts[host].cutovers.mu.Unlock()
			case "store":
				hosts[host].reaches = !hosts[host].reaches
			case "restart":
				if host > 0 { // one host keeps what it knows
					begin(host)
				}
			}
			for range rapid.IntRange(1, 20).Draw(t, "steps") {
				step()
			}
		}
		for _, host := range hosts {
			host.reaches = true
		}
		for range 100 {
			step()
		}
		for i, host := range hosts {
			status := host.cutovers.Statuses()[0]
			if store.row == nil || status.Progress != *store.row || status.Revision != inEra(store.era, store.rowVersion) {
				t.Fatalf("host %d knows %s of %v, the store holds %v of %v", i, fmt.Sprint(status.Progress), status.Revision, store.row, inEra(store.era, store.rowVersion))
			}
		}
	})
}
