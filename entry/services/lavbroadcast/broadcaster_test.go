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

// host returns a broadcaster on a free port, which runs until the test ends.
func host(t *testing.T, id string) *Broadcaster {
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

func run(t *testing.T, hosts ...*Broadcaster) {
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

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 200 {
		if holds() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("not seen: " + what)
}

func TestPeersLearnLoadsAndHostsThatOnlyOneOfThemKnows(t *testing.T) {
	is := is.New(t)
	a, b := host(t, "a"), host(t, "b")
	a.Peers.Listed([]lavring.Member{b.Peers.Self()}, time.Now())
	for i := range 2 * serversPerDatagram {
		a.Loads.Start(lavid.BackendServerID(fmt.Sprintf("server-%d", i)), 100, 200)
	}
	run(t, a, b)
	eventually(t, "all loads", func() bool {
		for i := range 2 * serversPerDatagram {
			if b.Loads.Total(lavid.BackendServerID(fmt.Sprintf("server-%d", i)), time.Now()).Requests != 1 {
				return false
			}
		}
		return true
	})
	is.Equal(len(b.Peers.Live(time.Now())), 2) // b was told of a by a itself
	is.Equal(b.Peers.Live(time.Now().Add(3 * time.Second))[0].ID, lavid.HostID("b"))
	is.Equal(len(b.Peers.Hosts(time.Now().Add(3*time.Second))), 2) // a silent host may still send work
	is.Equal(len(b.Peers.Hosts(time.Now().Add(time.Minute))), 1)
}

func TestPeersLearnCutoversAndTheirCounts(t *testing.T) {
	a, b := host(t, "a"), host(t, "b")
	a.Peers.Listed([]lavring.Member{b.Peers.Self()}, time.Now())
	now := time.Now()
	progress := lavcutover.Progress{Service: "pool", To: "v2", State: lavcutover.Running, Duration: 20 * time.Second}
	a.Cutovers.SetOrders([]lavcutover.Order{{Service: "pool", To: "v2", Duration: 20 * time.Second}}, now)
	a.Cutovers.ApplyRow(progress, 4, now)
	for range 4 {
		a.Cutovers.Observe(lavserver.Server{Service: "pool", Release: "v2"}, lavcutover.Outcome{Kind: "chat", Failed: true})
	}
	run(t, a, b)
	eventually(t, "the cutover", func() bool {
		rows := b.Cutovers.Statuses()
		return len(rows) == 1 && rows[0].Version == 4 && rows[0].Evidence > 100
	})
}

func TestHostThatLeavesIsNotLive(t *testing.T) {
	a, b := host(t, "a"), host(t, "b")
	a.Peers.Listed([]lavring.Member{b.Peers.Self()}, time.Now())
	run(t, a, b)
	eventually(t, "both", func() bool { return len(b.Peers.Live(time.Now())) == 2 })
	a.Leave()
	eventually(t, "the one that stays", func() bool { return len(b.Peers.Live(time.Now())) == 1 })
}

func TestHostIsReplacedByThoseToWhichABalancerSendsItsCallers(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name     string
		near     []bool // whether each other host of the data centre is leaving
		far      []bool
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
			peers := NewPeers(lavring.Member{ID: "self", DataCentre: "near"})
			for centre, hosts := range map[lavid.DataCentreID][]bool{"near": test.near, "far": test.far} {
				for i, leaving := range hosts {
					peers.heardFrom(lavring.Member{ID: lavid.HostID(fmt.Sprint(centre, i)), DataCentre: centre}, leaving, now)
				}
			}
			is.Equal(peers.Replaced(now), test.replaced)
			is.Equal(peers.Replaced(now.Add(liveAge)), false) // nobody is heard any more
		})
	}
}
