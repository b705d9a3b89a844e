package lavspread

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavmembership"
)

// fleet is a set of hosts that exchange configuration over loopback, and their table service.
type fleet struct {
	rows      *memoryRows
	hosts     []lavplatform.Host
	spreaders []*Spreader
	servers   []*httptest.Server
	// partitioned cuts the connections between partitionedDataCentre and all other data centres while it is true.
	partitioned atomic.Bool
}

// partitionedDataCentre is the data centre that a partition cuts off.
const partitionedDataCentre = "dc-3"

// partitionTransport makes the calls of one host and fails those that cross the partition.
type partitionTransport struct {
	fleet *fleet
	from  lavid.DataCentreID
	to    map[string]lavid.DataCentreID
	http.RoundTripper
}

// RoundTrip fails when the partition separates the two data centres.
func (p partitionTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	if p.fleet.partitioned.Load() && (p.from == partitionedDataCentre) != (p.to[request.URL.Host] == partitionedDataCentre) {
		return nil, errors.New("the partition separates the data centres")
	}
	return p.RoundTripper.RoundTrip(request)
}

// startFleet runs count entry hosts in three data centres until the test ends; the host list contains all of them.
func startFleet(t *testing.T, count int) *fleet {
	roles := slices.Repeat([]lavplatform.HostRole{lavplatform.RoleEntry}, count)
	return startFleetWith(t, roles, func(f *fleet, _ int) ([]lavplatform.Host, []string) { return f.hosts, nil })
}

// startFleetWith runs one host for each role; initial returns the listed hosts and the seeds with which host i starts.
func startFleetWith(t *testing.T, roles []lavplatform.HostRole, initial func(f *fleet, i int) ([]lavplatform.Host, []string)) *fleet {
	f := &fleet{rows: newMemoryRows()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	dataCentres := make(map[string]lavid.DataCentreID)
	for i, role := range roles {
		server := httptest.NewUnstartedServer(nil)
		host := lavplatform.Host{
			ID: lavid.HostID(fmt.Sprint("host-", i)), Role: role,
			Address: server.Listener.Addr().String(), DataCentre: lavid.DataCentreID(fmt.Sprint("dc-", i%3+1)),
		}
		table := lavmembership.New(lavmembership.Member{ID: host.ID, Role: host.Role, Address: host.Address, DataCentre: host.DataCentre})
		dataCentres[host.Address] = host.DataCentre
		client := &http.Client{Transport: partitionTransport{f, host.DataCentre, dataCentres, NewHTTPClient(nil).Transport}}
		spreader := New(Options{Rows: f.rows, Peers: table, Current: NewCurrent(), Client: client, Scheme: "http://", Log: log})
		server.Config.Handler = spreader.Handler()
		f.hosts = append(f.hosts, host)
		f.spreaders = append(f.spreaders, spreader)
		f.servers = append(f.servers, server)
	}
	ctx, stop := context.WithCancel(context.Background())
	var parts conc.WaitGroup
	for i, spreader := range f.spreaders {
		hosts, seeds := initial(f, i)
		spreader.options.Peers.(*lavmembership.Table).Merge(hosts, time.Now())
		spreader.options.Seeds = seeds
		f.servers[i].Start()
		parts.Go(func() { spreader.Run(ctx) })
	}
	t.Cleanup(func() {
		stop()
		parts.Wait()
		for _, server := range f.servers {
			server.Close()
		}
	})
	return f
}

func (f *fleet) numberAt(i int) lavid.ConfigNumber { return f.spreaders[i].options.Current.Number() }

// eventually fails the test unless holds returns true within the given time.
func eventually(t *testing.T, within time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not within %v: %s", within, what)
}

func (f *fleet) allInForce(number lavid.ConfigNumber) func() bool {
	return func() bool {
		for _, spreader := range f.spreaders {
			document := spreader.options.Current.InForce(time.Now())
			if document == nil || document.Number != number {
				return false
			}
		}
		return true
	}
}

// firstPatch returns the patch of the first configuration, which adds three data centres.
func firstPatch() Patch {
	return Patch{ID: "first", Operations: json.RawMessage(`[
		{"op":"add","path":"/DataCentres/dc-1","value":{"State":"InService"}},
		{"op":"add","path":"/DataCentres/dc-2","value":{"State":"InService"}},
		{"op":"add","path":"/DataCentres/dc-3","value":{"State":"InService"}}]`)}
}

// addService returns a patch that adds the service id to the configuration with the number base.
func addService(id lavid.PatchID, base lavid.ConfigNumber) Patch {
	return Patch{ID: id, Base: base, Operations: json.RawMessage(fmt.Sprintf(
		`[{"op":"test","path":"/Number","value":%d},{"op":"add","path":"/Services/%s","value":{}}]`, base, id))}
}

// TestAcceptedConfigurationStaysInForceThroughStoreOutage guards against hosts that stop during a store outage, and
// against a patch in doubt that is applied twice when it is repeated at other hosts.
func TestAcceptedConfigurationStaysInForceThroughStoreOutage(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 12)
	receipt, err := f.spreaders[0].Submit(t.Context(), firstPatch())
	is.NoErr(err)
	is.Equal(receipt.Number, lavid.ConfigNumber(1))
	f.rows.setDown(true)
	eventually(t, 4*time.Second, "first configuration everywhere", f.allInForce(1))
	time.Sleep(StoreConfirmationTTL + time.Second) // the store's confirmation expires; hosts confirm the number to each other
	is.True(f.allInForce(1)())
	_, err = f.spreaders[1].Submit(t.Context(), addService("doubt", 1))
	is.True(laverror.Is(err, laverror.KindInDoubt))
	f.rows.setDown(false)
	receipt, err = f.spreaders[2].Submit(t.Context(), addService("doubt", 1)) // the patch in doubt is resolved at another host
	is.NoErr(err)
	is.Equal(receipt.Number, lavid.ConfigNumber(2))
	is.True(receipt.InForce) // pushed to the other data centres before the answer
	is.Equal(len(receipt.Reached), 3)
	_, err = f.spreaders[3].Submit(t.Context(), addService("other", 1))
	is.True(laverror.Is(err, laverror.KindConflict))
	receipt, err = f.spreaders[4].Submit(t.Context(), addService("doubt", 1)) // a repeat returns the same receipt
	is.NoErr(err)
	is.Equal(receipt.Number, lavid.ConfigNumber(2))
	eventually(t, 4*time.Second, "second configuration everywhere", f.allInForce(2))
}

// TestIsolatedHostHasNoConfigurationInForce guards against a host that keeps a configuration in force without the store
// and without peers.
func TestIsolatedHostHasNoConfigurationInForce(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 4)
	_, err := f.spreaders[0].Submit(t.Context(), firstPatch())
	is.NoErr(err)
	eventually(t, 4*time.Second, "configuration everywhere", f.allInForce(1))
	f.rows.setDown(true)
	for _, server := range f.servers[1:] {
		server.Close()
	}
	eventually(t, StoreConfirmationTTL+time.Second, "no configuration is in force", func() bool {
		return f.spreaders[0].options.Current.Check(time.Now()) != nil
	})
	is.Equal(f.numberAt(0), lavid.ConfigNumber(1)) // the host keeps its configuration while it is not in force
	is.True(strings.Contains(f.spreaders[0].options.Current.Check(time.Now()).Error(), "try another host"))
}

// TestPartitionedDataCentreStopsAndMajorityContinuesDuringStoreOutage guards against a minority partition that keeps an
// old configuration in force while the majority accepts a new one.
func TestPartitionedDataCentreStopsAndMajorityContinuesDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 9)
	_, err := f.spreaders[0].Submit(t.Context(), firstPatch())
	is.NoErr(err)
	eventually(t, 4*time.Second, "configuration everywhere", f.allInForce(1))
	f.rows.setDown(true)
	f.partitioned.Store(true)
	// countInForce counts the hosts with a configuration in force, inside the partitioned data centre or outside it.
	countInForce := func(cut bool) int {
		count := 0
		for _, spreader := range f.spreaders {
			isCut := spreader.replica.Self.DataCentre == partitionedDataCentre
			if isCut == cut && spreader.options.Current.InForce(time.Now()) != nil {
				count++
			}
		}
		return count
	}
	eventually(t, StoreConfirmationTTL+time.Second, "no host of the partitioned data centre has a configuration in force", func() bool { return countInForce(true) == 0 })
	for range 10 {
		is.Equal(countInForce(false), 6) // the hosts of the two other data centres
		time.Sleep(100 * time.Millisecond)
	}
	f.rows.setDown(false)
	receipt, err := f.spreaders[0].Submit(t.Context(), addService("during", 1))
	is.NoErr(err)
	is.True(receipt.InForce)
	is.Equal(receipt.Number, lavid.ConfigNumber(2))
	f.partitioned.Store(false)
	eventually(t, 4*time.Second, "the partitioned data centre catches up", f.allInForce(2))
}

// TestConcurrentCatchUpsShareFetch guards against a burst of store reads when many requests carry a number that this
// host lacks.
func TestConcurrentCatchUpsShareFetch(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2)
	_, err := f.spreaders[0].Submit(t.Context(), firstPatch())
	is.NoErr(err)
	address := f.spreaders[0].replica.Self.Address
	is.True(f.spreaders[1].CatchUp(t.Context(), address, 1)) // fetched from the host at address
	before := f.spreaders[1].metrics.Value("StoreReads")
	var calls conc.WaitGroup
	for range 100 {
		calls.Go(func() { f.spreaders[1].CatchUp(t.Context(), address, 9) })
	}
	calls.Wait()
	is.True(f.spreaders[1].metrics.Value("StoreReads")-before < 10)
}

// TestEntryHostsFindEachOtherThroughSeeds guards against entry hosts that never find each other because the host list
// shows them a side process only.
func TestEntryHostsFindEachOtherThroughSeeds(t *testing.T) {
	roles := []lavplatform.HostRole{lavplatform.RoleEntry, lavplatform.RoleEntry, lavplatform.RoleSide}
	f := startFleetWith(t, roles, func(f *fleet, _ int) ([]lavplatform.Host, []string) {
		return f.hosts[2:], []string{f.hosts[0].Address, f.hosts[1].Address}
	})
	for i, spreader := range f.spreaders[:2] {
		table := spreader.options.Peers.(*lavmembership.Table)
		eventually(t, 5*time.Second, fmt.Sprintf("host %d has both entry hosts in its table", i), func() bool { return len(table.Owners(time.Now())) == 2 })
	}
}
