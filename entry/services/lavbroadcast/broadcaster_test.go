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
	"google.golang.org/protobuf/proto"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavforecast"
	"lavenderswitch/core/services/lavholding"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/core/services/lavnews"
	"lavenderswitch/core/services/lavnotice"
	"lavenderswitch/core/services/lavquarantine"
	"lavenderswitch/core/services/lavreport"
	"lavenderswitch/core/services/lavrollout"
	"lavenderswitch/wire/lavwire"
)

// testHost is a broadcaster with what it reports.
type testHost struct {
	*Broadcaster
	Peers    *lavreport.Peers
	Loads    *lavload.Table
	Cutovers *lavcutover.Cutovers
}

// newBroadcaster returns a broadcaster that listens on a free port.
func newBroadcaster(t *testing.T, id string) *testHost {
	t.Helper()
	free, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := free.LocalAddr().String()
	is.New(t).NoErr(free.Close())
	log := logrus.New()
	log.SetOutput(io.Discard)
	h := &testHost{
		Peers:    lavreport.NewPeers(lavring.Member{ID: lavid.HostID(id), DataCentre: "centre-a", Address: address}),
		Loads:    lavload.New(),
		Cutovers: lavcutover.New(lavcutover.Settings{Test: lavrollout.DefaultSettings(), StopEvidence: 100}),
	}
	node := lavreport.NewNode(h.Peers, h.Loads, lavforecast.New(), h.Cutovers, nil, nil, time.Now())
	h.Broadcaster = &Broadcaster{Self: h.Peers.Self(), Node: node, Log: log, Clock: time.Now}
	is.New(t).NoErr(h.Listen())
	return h
}

func start(t *testing.T, hosts ...*testHost) {
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

// serverCount is a number of servers whose loads need more than one packet.
const serverCount = 100

// TestPeersExchangeLoadsAndUnlistedHosts guards against loads that are lost when they need several packets, and against a host
// that stays unknown because it is missing in the list of the store.
func TestPeersExchangeLoadsAndUnlistedHosts(t *testing.T) {
	is := is.New(t)
	a, b := newBroadcaster(t, "a"), newBroadcaster(t, "b")
	a.Peers.AddListed([]lavring.Member{b.Peers.Self()}, time.Now())
	for i := range serverCount {
		a.Loads.Start(lavid.BackendServerID(fmt.Sprintf("server-%d", i)), lavload.Load{Unread: 100, Memory: 200})
	}
	start(t, a, b)
	eventually(t, "all loads", func() bool {
		for i := range serverCount {
			if b.Loads.Total(lavid.BackendServerID(fmt.Sprintf("server-%d", i)), time.Now()) != (lavload.Load{Requests: 1, Unread: 100, Memory: 200}) {
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
	a.Cutovers.ApplyRow(progress, lavrevision.Revision{Version: 4}, now)
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

// TestTotalOverManyServersFitsIntoADatagram guards against totals that are not sent at all before thousands of servers.
func TestTotalOverManyServersFitsIntoADatagram(t *testing.T) {
	is := is.New(t)
	message := &lavreport.Message{Kind: lavreport.KindTotal, From: lavring.Member{ID: "a", Address: "127.0.0.1:1"}}
	message.Sum.Loads = make(map[lavload.ServerKey]lavload.Load)
	message.Sum.Speeds = make(map[lavload.ServerKey]lavforecast.Speed)
	for i := range 9000 {
		server := lavload.ServerKey(i * 477_001)
		message.Sum.Loads[server] = lavload.Load{Requests: i % 50, Unread: 60_000, Memory: 500_000}
		message.Sum.Speeds[server] = lavforecast.Speed{Sum: 3, Weight: 9}
	}
	data, err := marshal(message)
	is.NoErr(err)
	is.True(len(data) <= maxMessageBytes)
	var state lavwire.HostState
	is.NoErr(proto.Unmarshal(data, &state))
	decoded, err := decode(&state)
	is.NoErr(err)
	is.True(len(decoded.Sum.Loads) > 2000)
	lowestKept, highestLeft := 50, 0
	for server, load := range message.Sum.Loads {
		if _, kept := decoded.Sum.Loads[server]; kept {
			lowestKept = min(lowestKept, load.Requests)
			continue
		}
		highestLeft = max(highestLeft, load.Requests)
	}
	is.True(lowestKept >= highestLeft) // the busiest servers stay
}

// TestMessageSurvivesTheWire guards against a field that is lost or changed between two hosts.
func TestMessageSurvivesTheWire(t *testing.T) {
	is := is.New(t)
	load := lavload.Load{Requests: 3, Unread: 1200, Memory: 7000}
	counts := lavcutover.Counts{Failures: lavrollout.Sample{Trials: 5, Bad: 1}, Slow: lavrollout.Sample{Trials: 4, Bad: 2}, Longer: lavrollout.Sample{Trials: 3, Bad: 3}, Delayed: lavrollout.Sample{Trials: 2, Bad: 1}, Sends: 9}
	sum := lavreport.Sum{
		Entries: []lavreport.Entry{{Host: 7, Sequence: 65_535, Age: 300 * time.Millisecond, Leaving: true}, {Host: 8, Sequence: 1}},
		Loads:   map[lavload.ServerKey]lavload.Load{11: load},
		Speeds:  map[lavload.ServerKey]lavforecast.Speed{11: {Sum: -1.25, Weight: 2.5}},
		Cutovers: []lavcutover.Status{{
			Progress: lavcutover.Progress{Service: "pool", To: "v2", State: lavcutover.Running, Began: time.Minute, Duration: 20 * time.Second, Past: lavcutover.Past{{Release: "v1", State: lavcutover.Complete}, {Release: "v0", State: lavcutover.Stopped}}}, Revision: lavrevision.Revision{Era: 2, Version: 4},
			Counts:  map[lavcutover.Key]lavcutover.Counts{{Service: "pool", Release: "v2", Kind: "chat"}: counts},
			Earlier: lavcutover.SessionSet(nil).With("session"),
		}},
	}
	member := lavring.Member{ID: "a", DataCentre: "centre-a", Address: "127.0.0.1:1"}
	message := &lavreport.Message{
		Kind: lavreport.KindTotal, From: member, Sequence: 65_535, Leaving: true, IsRelay: true, Sum: sum,
		Loads: map[lavid.BackendServerID]lavload.Load{"server": load}, Speeds: sum.Speeds, Cutovers: sum.Cutovers,
		Exchanged: []lavreport.CentreSum{{DataCentre: "centre-b", Sum: sum}}, Members: []lavring.Member{member}, ForwardTo: []string{"127.0.0.1:2"},
		News:    &lavnews.News{Servers: &lavnews.Edition{Revision: lavrevision.Revision{Era: 2, Version: 7}, Digest: 1 << 63, Age: time.Second}, CutoversRead: true, Address: "127.0.0.1:3"},
		Notices: []lavnotice.Report{{Instance: 1 << 63, Leaving: true, LeavingFor: time.Second, Pause: 2 * time.Second, LimitKnown: true, Limit: lavnotice.Limit{Stated: true, Rate: 1.2}, LimitFor: time.Minute}},
		PromptParts: lavquarantine.Findings{
			Keys: []lavquarantine.Report{{
				Key: 1 << 63, Answered: true, AnsweredFor: time.Minute, Whole: true, Refused: true, RefusedFor: time.Hour,
				Endings: []lavquarantine.ReportedEnding{{Instance: 5, Age: 2 * time.Second, Begun: true, Repeat: true}, {Instance: 6, Age: time.Second}},
			}},
			Alive: []lavquarantine.Alive{{Instance: 1 << 62, Age: time.Second}},
		},
		Holdings: []lavholding.Report{{Key: 1 << 63, Instance: 1 << 61, Age: time.Second}, {Key: 5, Instance: 6}},
	}
	data, err := proto.Marshal(encode(message))
	is.NoErr(err)
	var state lavwire.HostState
	is.NoErr(proto.Unmarshal(data, &state))
	decoded, err := decode(&state)
	is.NoErr(err)
	is.Equal(decoded, message)
	state.Notices[0].Limit = -1
	_, err = decode(&state)
	is.True(err != nil) // no rate
	state.Notices = nil
	state.PromptParts[0].Repeat = nil
	_, err = decode(&state)
	is.NoErr(err) // an earlier build does not state which sends were repeats
	state.PromptParts[0].Begun = nil
	_, err = decode(&state)
	is.True(err != nil) // lists of unequal lengths
	state.PromptParts, state.AliveMillis = nil, nil
	_, err = decode(&state)
	is.True(err != nil) // lists of unequal lengths
	state.AliveInstances = nil
	state.Sum.Requests = nil
	_, err = decode(&state)
	is.True(err != nil) // lists of unequal lengths
}
