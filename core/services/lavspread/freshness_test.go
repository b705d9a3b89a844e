package lavspread

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/services/lavmembership"
	"lavenderswitch/wire/lavwire"
)

var start = time.Unix(1_000_000, 0)

// threeDataCentres returns configuration 1, with dc-1, dc-2 and dc-3 in service.
func threeDataCentres() *lavconfig.Document {
	document := (*lavconfig.Document)(nil).WithTables()
	document.Number = 1
	for _, id := range []lavid.DataCentreID{"dc-1", "dc-2", "dc-3"} {
		document.DataCentres[id] = lavconfig.DataCentre{State: lavconfig.InService}
	}
	return document
}

// TestUnconfirmedConfigurationIsNotInForce guards against a host that decides new work under an outdated configuration
// because it was isolated or suspended while a newer one was accepted.
func TestUnconfirmedConfigurationIsNotInForce(t *testing.T) {
	is := is.New(t)
	current := NewCurrent()
	current.Adopt(threeDataCentres(), start)
	is.True(current.InForce(start) == nil) // nothing confirms that the number is the newest
	is.True(laverror.Is(current.Check(start), laverror.KindConfigUnavailable))
	current.Confirm(start)
	is.True(current.InForce(start.Add(StoreConfirmationTTL)) != nil)
	is.True(current.InForce(start.Add(StoreConfirmationTTL+time.Millisecond)) == nil) // the store confirmation has expired
}

// TestMajorityOfDataCentresKeepsConfigurationInForce guards against a store outage that stops all hosts: confirmations
// of hosts in a majority of the configured data centres are enough.
func TestMajorityOfDataCentresKeepsConfigurationInForce(t *testing.T) {
	is := is.New(t)
	current := NewCurrent()
	current.Adopt(threeDataCentres(), start)
	confirmed := map[lavid.DataCentreID]time.Time{"dc-1": start, "dc-9": start}
	current.MergeFreshness(Freshness{Number: 1, PeerConfirmed: confirmed})
	is.True(current.InForce(start) == nil) // one of three data centres; dc-9 is not in the configuration
	current.MergeFreshness(Freshness{Number: 1, PeerConfirmed: map[lavid.DataCentreID]time.Time{"dc-2": start}})
	is.True(current.InForce(start.Add(PeerConfirmationTTL)) != nil)
	is.True(current.InForce(start.Add(PeerConfirmationTTL+time.Millisecond)) == nil)
}

// TestPeerWithHigherNumberConfirmsNothing guards against confirmations that a host merges from a peer whose
// configuration is newer than its own.
func TestPeerWithHigherNumberConfirmsNothing(t *testing.T) {
	is := is.New(t)
	current := NewCurrent()
	current.Adopt(threeDataCentres(), start)
	is.True(!current.MergeFreshness(Freshness{Number: 2, StoreConfirmed: start}))
	is.True(current.InForce(start) == nil)
}

// TestPatchWithDigestMismatchRequestsDocument guards against hosts whose documents differ under the same number.
func TestPatchWithDigestMismatchRequestsDocument(t *testing.T) {
	is := is.New(t)
	replica := NewReplica(lavmembership.Member{ID: "a"}, NewCurrent())
	replica.Current.Adopt(threeDataCentres(), start)
	patch := &lavwire.ConfigPatch{Number: 2, Patch: []byte(`[{"op":"remove","path":"/DataCentres/dc-3"}]`), Digest: 1}
	request := &lavwire.ConfigExchange{SenderId: "b", Number: 2, Patches: []*lavwire.ConfigPatch{patch}, Push: true}
	reply, err := replica.Answer(request, false, start)
	is.NoErr(err)
	is.True(reply.GetWantDocument())
	is.Equal(replica.Current.Number(), lavid.ConfigNumber(1))
}

// TestStoreReadsPerSecondDoNotGrowWithHosts guards against a store load that is proportional to the number of hosts.
func TestStoreReadsPerSecondDoNotGrowWithHosts(t *testing.T) {
	is := is.New(t)
	for _, count := range []int{3, 100, 1020} {
		reads := 0
		for second := range int64(20) {
			for host := range count {
				if readsInSecond(lavid.HostID(rune('a'+host)), second, count, readersPerSecond) {
					reads++
				}
			}
		}
		is.True(reads <= 20*20) // at most 20 reads a second
		is.True(reads >= 20)    // and at least one
	}
}
