package lavreport

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavforecast"
	"lavenderswitch/core/services/lavholding"
	"lavenderswitch/core/services/lavload"
)

// delivery is a message on its way.
type delivery struct {
	at      time.Time
	to      string
	from    string
	message *Message
}

type deliveries []*delivery

func (d deliveries) Len() int           { return len(d) }
func (d deliveries) Less(i, j int) bool { return d[i].at.Before(d[j].at) }
func (d deliveries) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(value any)    { *d = append(*d, value.(*delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// simHost is a host of the simulated network. Its requests are all at a server of its own, so that each other host's view of
// that server shows this host's report alone.
type simHost struct {
	node     *Node
	peers    *Peers
	loads    *lavload.Table
	holdings *lavholding.Table
	job      *lavload.Job
	server   lavid.BackendServerID
	nextTick time.Time
	// down is set while the process does not run, and frozenUntil is the end of a suspension.
	down        bool
	frozenUntil time.Time
	diedAt      time.Time
	sends       int
}

// simNetwork is a network of hosts with lost, late and doubled messages and cut links.
type simNetwork struct {
	random    *rand.Rand
	now       time.Time
	hosts     []*simHost
	byAddress map[string]*simHost
	queue     deliveries
	// loss and doubling are probabilities, and delays the range of the time on the way.
	loss     float64
	doubling float64
	minDelay time.Duration
	maxDelay time.Duration
	// cut reports whether messages between two addresses are lost.
	cut func(from, to string) bool
}

const simStep = 10 * time.Millisecond

// newSimNetwork returns a network of hosts spread over data centres, which all know the whole list.
func newSimNetwork(seed uint64, hosts, dataCentres int) *simNetwork {
	network := &simNetwork{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0), byAddress: make(map[string]*simHost),
		minDelay: 500 * time.Microsecond, maxDelay: 5 * time.Millisecond, cut: func(string, string) bool { return false },
	}
	var members []lavring.Member
	for i := range hosts {
		members = append(members, lavring.Member{
			ID:         lavid.HostID(fmt.Sprintf("host-%d", i)),
			DataCentre: lavid.DataCentreID(fmt.Sprintf("centre-%d", i%dataCentres)),
			Address:    fmt.Sprintf("10.0.%d.%d:7341", i/250, i%250),
		})
	}
	for i, member := range members {
		host := &simHost{server: lavid.BackendServerID(fmt.Sprintf("server-%d", i))}
		network.hosts = append(network.hosts, host)
		network.byAddress[member.Address] = host
		network.start(host, member)
		host.peers.AddListed(members, network.now)
	}
	return network
}

// start starts the process of a host, which has one request in progress.
func (s *simNetwork) start(host *simHost, member lavring.Member) {
	host.peers, host.loads = NewPeers(member), lavload.New()
	host.node = NewNode(host.peers, host.loads, lavforecast.New(), lavcutover.New(lavcutover.Settings{}), nil, nil, s.now)
	host.holdings = lavholding.New()
	host.node.ShareHoldings(host.holdings)
	host.job = host.loads.Start(host.server, lavload.Load{Memory: lavid.Tokens(s.now.UnixMilli())})
	host.nextTick = s.now.Add(time.Duration(s.random.Int64N(int64(TickInterval))))
	host.down = false
}

// restart starts a host's process anew under its ID, with the host list of another host.
func (s *simNetwork) restart(host *simHost) {
	member := host.peers.Self()
	s.start(host, member)
	for _, other := range s.hosts {
		host.peers.AddListed([]lavring.Member{other.peers.Self()}, s.now)
	}
}

func (s *simNetwork) send(host *simHost, envelopes []Envelope) {
	for _, envelope := range envelopes {
		for _, address := range envelope.To {
			host.sends++
			copies := 1
			if s.random.Float64() < s.doubling {
				copies = 2
			}
			for range copies {
				if s.random.Float64() < s.loss || s.cut(host.peers.Self().Address, address) {
					continue
				}
				delay := s.minDelay + time.Duration(s.random.Int64N(int64(s.maxDelay-s.minDelay)))
				heap.Push(&s.queue, &delivery{at: s.now.Add(delay), to: address, from: host.peers.Self().Address, message: envelope.Message})
			}
		}
	}
}

// run lets the network run for a time. It calls observe after each step.
func (s *simNetwork) run(length time.Duration, observe func()) {
	for end := s.now.Add(length); s.now.Before(end); {
		next := s.now.Add(simStep)
		var late []*delivery
		for len(s.queue) > 0 && !s.queue[0].at.After(next) {
			item, _ := heap.Pop(&s.queue).(*delivery)
			s.now = item.at
			host := s.byAddress[item.to]
			switch {
			case host.down:
			case s.now.Before(host.frozenUntil):
				item.at = host.frozenUntil
				late = append(late, item)
			default:
				s.send(host, host.node.Receive(item.message, s.now).Replies)
			}
		}
		s.now = next
		for _, item := range late {
			heap.Push(&s.queue, item)
		}
		for _, host := range s.hosts {
			if host.down || s.now.Before(host.frozenUntil) || s.now.Before(host.nextTick) {
				continue
			}
			host.nextTick = s.now.Add(TickInterval)
			host.job.End()
			host.job = host.loads.Start(host.server, lavload.Load{Memory: lavid.Tokens(s.now.UnixMilli())})
			s.send(host, host.node.Tick(s.now))
		}
		if observe != nil {
			observe()
		}
	}
}

// seen returns the load that one host sees at the server of another.
func (s *simNetwork) seen(by, of *simHost) lavload.Load {
	return by.loads.Total(of.server, s.now)
}
