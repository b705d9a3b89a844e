package lavbroadcast

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/core/services/lavrollout"
)

// newBroadcaster returns a broadcaster that listens on a free port.
func newBroadcaster(t *testing.T, id string) *Broadcaster {
	t.Helper()
	free, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := free.LocalAddr().String()
	is.New(t).NoErr(free.Close())
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := &Broadcaster{
		Peers:    NewPeers(lavring.Member{ID: lavid.HostID(id), DataCentre: "centre-a", Address: address}),
		Loads:    lavload.New(),
		Cutovers: lavcutover.New(lavcutover.Settings{Test: lavrollout.DefaultSettings(), StopEvidence: 100}),
		Log:      log,
		Clock:    time.Now,
	}
	is.New(t).NoErr(b.Listen())
	return b
}

func start(t *testing.T, hosts ...*Broadcaster) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	for _, b := range hosts {
		go b.Run(ctx)
	}
	t.Cleanup(func() {
		cancel()
		for _, b := range hosts {
			<-b.Done()
		}
	})
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 200 {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("condition not met in time: " + what)
}

// TestPeersExchangeLoadsAndUnlistedHosts guards against loads that are lost when they need several datagrams, and
// against a host that stays unknown because it is missing in the list of the store.
func TestPeersExchangeLoadsAndUnlistedHosts(t *testing.T) {
	is := is.New(t)
	a, b := newBroadcaster(t, "a"), newBroadcaster(t, "b")
	a.Peers.AddListed([]lavring.Member{b.Peers.Self()}, time.Now())
	for i := range 2 * serversPerDatagram {
		a.Loads.Start(lavid.BackendServerID(fmt.Sprintf("server-%d", i)), 100, 200)
	}
	start(t, a, b)
	eventually(t, "all loads", func() bool {
		for i := range 2 * serversPerDatagram {
			if b.Loads.Total(lavid.BackendServerID(fmt.Sprintf("server-%d", i)), time.Now()).Requests != 1 {
				return false
			}
		}
		return true
	})
	is.Equal(len(b.Peers.Live(time.Now())), 2) // b has received a's datagrams; it read no host list
	is.Equal(b.Peers.Live(time.Now().Add(3 * time.Second))[0].ID, lavid.HostID("b"))
	is.Equal(len(b.Peers.Hosts(time.Now().Add(3*time.Second))), 2) // a silent host may still have requests in progress
	is.Equal(len(b.Peers.Hosts(time.Now().Add(time.Minute))), 1)
}

// TestPeersExchangeCutoversAndOutcomeCounts guards against a cutover, or the evidence against its release, that stays
// with one host.
func TestPeersExchangeCutoversAndOutcomeCounts(t *testing.T) {
	a, b := newBroadcaster(t, "a"), newBroadcaster(t, "b")
	a.Peers.AddListed([]lavring.Member{b.Peers.Self()}, time.Now())
	now := time.Now()
	progress := lavcutover.Progress{Service: "pool", To: "v2", State: lavcutover.Running, Duration: 20 * time.Second}
	a.Cutovers.SetOrders([]lavcutover.Order{{Service: "pool", To: "v2", Duration: 20 * time.Second}}, now)
	a.Cutovers.ApplyRow(progress, 4, now)
	for range 4 {
		a.Cutovers.Observe(lavserver.Server{Service: "pool", Release: "v2"}, lavcutover.Outcome{Kind: "chat", Failed: true})
	}
	start(t, a, b)
	eventually(t, "the cutover", func() bool {
		rows := b.Cutovers.Statuses()
		return len(rows) == 1 && rows[0].Version == 4 && rows[0].Evidence > 100
	})
}

// TestLeavingHostIsNotLive guards against work that is assigned to a host that shuts down.
func TestLeavingHostIsNotLive(t *testing.T) {
	a, b := newBroadcaster(t, "a"), newBroadcaster(t, "b")
	a.Peers.AddListed([]lavring.Member{b.Peers.Self()}, time.Now())
	start(t, a, b)
	eventually(t, "two live hosts", func() bool { return len(b.Peers.Live(time.Now())) == 2 })
	a.AnnounceLeaving()
	eventually(t, "one live host", func() bool { return len(b.Peers.Live(time.Now())) == 1 })
}

// TestReplacementNeedsEnoughReadyHosts guards against a host that shuts down its listener early when load balancers
// have no, or too few, other hosts for its callers.
func TestReplacementNeedsEnoughReadyHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name     string
		local    []bool // whether each other host of the data centre is leaving
		remote   []bool
		replaced bool
	}{
		{"alone", nil, nil, false},
		{"the other one of its data centre is ready", []bool{false}, nil, true},
		{"all are leaving", []bool{true}, []bool{true, true}, false},
		{"only another data centre is ready", []bool{true}, []bool{false}, true},
		{"under half of its data centre is ready", []bool{false, true, true}, []bool{false}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			peers := NewPeers(lavring.Member{ID: "self", DataCentre: "local"})
			for centre, hosts := range map[lavid.DataCentreID][]bool{"local": test.local, "remote": test.remote} {
				for i, leaving := range hosts {
					peers.recordDatagram(lavring.Member{ID: lavid.HostID(fmt.Sprint(centre, i)), DataCentre: centre}, leaving, now)
				}
			}
			is.Equal(peers.HasReplacement(now), test.replaced)
			is.Equal(peers.HasReplacement(now.Add(liveTimeout)), false) // no recent datagrams
		})
	}
}
