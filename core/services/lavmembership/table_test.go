package lavmembership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
)

var start = time.Unix(1_000_000, 0)

func listOf(count int) []lavplatform.Host {
	var hosts []lavplatform.Host
	for i := range count {
		hosts = append(hosts, lavplatform.Host{
			ID: lavid.HostID(fmt.Sprint("host-", i)), Role: lavplatform.RoleEntry,
			Address: fmt.Sprint("127.0.0.1:", 1000+i), DataCentre: lavid.DataCentreID(fmt.Sprint("dc-", i%5)),
		})
	}
	return hosts
}

// newTable returns the table of a host in dc-0 with count entry hosts in five data centres.
func newTable(count int) *Table {
	table := New(Member{ID: "self", Role: lavplatform.RoleEntry, DataCentre: "dc-0"})
	table.Merge(listOf(count), start)
	return table
}

// TestPeersAreBoundedAndCoverEveryDataCentre guards against connections to every host of a large system, and against
// data centres that receive no messages.
func TestPeersAreBoundedAndCoverEveryDataCentre(t *testing.T) {
	is := is.New(t)
	table := newTable(1000)
	random := rand.New(rand.NewPCG(1, 1))
	used := make(map[lavid.HostID]bool)
	dataCentres := make(map[lavid.DataCentreID]bool)
	for range 200 {
		for _, member := range table.Pick(2, random, start) {
			used[member.ID] = true
			dataCentres[member.DataCentre] = true
		}
	}
	is.Equal(len(used), maxPeers)
	is.Equal(len(dataCentres), 5)
	is.Equal(len(table.PickRemote(2, random, start)), 8) // two in each of the four other data centres
}

// TestUnresponsiveHostIsSuspectedAndRetried guards against calls to a host that does not answer, and against a host
// that is never called again.
func TestUnresponsiveHostIsSuspectedAndRetried(t *testing.T) {
	is := is.New(t)
	table := newTable(2)
	table.RecordFailure("host-0", start)
	is.Equal(len(table.Owners(start)), 3) // one failure does not make a host suspect
	table.RecordFailure("host-0", start)
	is.Equal(len(table.Owners(start)), 2)
	is.Equal(len(table.Live(start.Add(minSuspectTime))), 2) // no longer suspect
	table.RecordContact(Member{ID: "host-0", Role: lavplatform.RoleEntry}, start)
	is.Equal(len(table.Live(start)), 2)
}

// TestLeavingHostStaysLeavingWhileListLags guards against a lagging host list that overwrites the announcement of a
// host that it is leaving.
func TestLeavingHostStaysLeavingWhileListLags(t *testing.T) {
	is := is.New(t)
	table := newTable(2)
	leaving := Member{ID: "host-0", Role: lavplatform.RoleEntry, Address: "127.0.0.1:1000", Leaving: true}
	table.RecordContact(leaving, start)
	table.Merge(listOf(2), start.Add(time.Second))
	is.Equal(len(table.Owners(start)), 2) // the list still shows host-0 as not leaving
	table.Leave()
	is.Equal(len(table.Owners(start)), 1)
}

// TestUnlistedHostIsRemovedWithoutContact guards against a table that keeps hosts which no longer exist, and against
// the removal of a host that still answers while the list omits it.
func TestUnlistedHostIsRemovedWithoutContact(t *testing.T) {
	is := is.New(t)
	table := newTable(2)
	table.RecordContact(Member{ID: "host-1", Address: "127.0.0.1:1001"}, start)
	table.Merge(nil, start.Add(time.Second))
	is.Equal(table.Count(), 2) // host-0 had no contact and is removed; host-1 stays
	table.Merge(nil, start.Add(unlistedRetention+time.Second))
	is.Equal(table.Count(), 1)
}

// TestHostListReadRateIsBounded guards against a read rate in bytes that grows with the number of hosts.
func TestHostListReadRateIsBounded(t *testing.T) {
	is := is.New(t)
	is.Equal(PollInterval(3, true), minPollInterval)
	is.Equal(PollInterval(3, false), minPollIntervalAlone)
	for _, hasEntryHost := range []bool{true, false} {
		is.True(1020*hostBytes/PollInterval(1020, hasEntryHost).Seconds() <= listBytesPerSecond)
	}
}
