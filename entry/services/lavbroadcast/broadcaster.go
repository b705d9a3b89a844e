package lavbroadcast

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/wire/lavwire"
)

const (
	// minInterval separates two broadcasts. With many peers, intervalPerPeer times their number separates them, which
	// bounds the datagrams per second.
	minInterval     = 200 * time.Millisecond
	intervalPerPeer = 25 * time.Millisecond
	// serversPerDatagram bounds the average number of servers in a datagram, to keep it within the usual packet size.
	serversPerDatagram = 36
	// maxDatagramBytes is the size of the receive buffer. No UDP datagram is larger.
	maxDatagramBytes = 64 << 10
)

// Broadcaster exchanges state with the other entry hosts in datagrams until its context ends.
type Broadcaster struct {
	lavlife.DoneSignal
	Peers    *Peers
	Loads    *lavload.Table
	Cutovers *lavcutover.Cutovers
	Log      logrus.FieldLogger
	Clock    func() time.Time

	socket  *net.UDPConn
	leaving atomic.Bool
}

// Listen opens the UDP socket at this host's address.
func (b *Broadcaster) Listen() error {
	address, err := netip.ParseAddrPort(b.Peers.self.Address)
	if err != nil {
		return errors.Wrap(err, "parse the address for datagrams; check IP and the internal ports of the settings")
	}
	b.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	return errors.Wrapf(err, "listen on %s; choose free internal ports in the settings", address)
}

// Run sends this host's state and applies the states of its peers until ctx ends.
func (b *Broadcaster) Run(ctx context.Context) {
	defer b.Finish()
	var receiving conc.WaitGroup
	receiving.Go(b.receive)
	for ctx.Err() == nil {
		peers := b.otherHosts()
		b.send(peers)
		lavlife.Sleep(ctx, max(minInterval, time.Duration(len(peers))*intervalPerPeer))
	}
	if err := b.socket.Close(); err != nil {
		b.Log.WithError(err).Debug("closing the datagram socket failed")
	}
	receiving.Wait()
}

// AnnounceLeaving marks this host as leaving and sends its state to all peers at once.
func (b *Broadcaster) AnnounceLeaving() {
	b.leaving.Store(true)
	b.send(b.otherHosts())
}

func (b *Broadcaster) otherHosts() []lavring.Member {
	hosts := b.Peers.Hosts(b.Clock())
	others := hosts[:0]
	for _, member := range hosts {
		if member.ID != b.Peers.self.ID {
			others = append(others, member)
		}
	}
	return others
}

func (b *Broadcaster) send(peers []lavring.Member) {
	if len(peers) == 0 {
		return
	}
	for _, state := range b.hostStates() {
		data, err := proto.Marshal(state)
		if err != nil {
			b.Log.WithError(err).Error("encoding the state for peers failed")
			return
		}
		for _, member := range peers {
			address, err := netip.ParseAddrPort(member.Address)
			if err != nil {
				continue
			}
			// Datagrams may be lost anyway, so a failed send is ignored.
			_, _ = b.socket.WriteToUDPAddrPort(data, address)
		}
	}
}

// hostStates returns this host's state, split into one message for each datagram. The first one holds all cutovers.
func (b *Broadcaster) hostStates() []*lavwire.HostState {
	loads := b.Loads.Own()
	parts := uint32(len(loads)/serversPerDatagram + 1)
	states := make([]*lavwire.HostState, parts)
	for part := range parts {
		states[part] = &lavwire.HostState{
			HostId:       string(b.Peers.self.ID),
			DataCentreId: string(b.Peers.self.DataCentre),
			Address:      b.Peers.self.Address,
			Leaving:      b.leaving.Load(),
			Part:         part,
			Parts:        parts,
		}
	}
	for server, load := range loads {
		part := xxhash.Sum64String(string(server)) % uint64(parts)
		states[part].Loads = append(states[part].Loads, &lavwire.ServerLoad{
			BackendServerId: string(server),
			Requests:        uint32(load.Requests),
			UnreadTokens:    uint64(max(load.Unread, 0)),
			MemoryTokens:    uint64(max(load.Memory, 0)),
		})
	}
	for _, row := range b.Cutovers.Statuses() {
		states[0].Cutovers = append(states[0].Cutovers, encodeCutover(row))
	}
	return states
}

func encodeCutover(row lavcutover.Status) *lavwire.CutoverState {
	state := &lavwire.CutoverState{
		ServiceId:      string(row.Progress.Service),
		ReleaseId:      string(row.Progress.To),
		State:          string(row.Progress.State),
		BeganMillis:    row.Progress.Began.Milliseconds(),
		DurationMillis: row.Progress.Duration.Milliseconds(),
		RowVersion:     row.Version,
	}
	for key, counts := range row.Counts {
		state.Counts = append(state.Counts, &lavwire.ReleaseCounts{
			ReleaseId: string(key.Release),
			Kind:      key.Kind,
			Answers:   counts.Failures.Trials,
			Failed:    counts.Failures.Bad,
			Paced:     counts.Slow.Trials,
			Slow:      counts.Slow.Bad,
			Timed:     counts.Longer.Trials,
			Longer:    counts.Longer.Bad,
			Sends:     counts.Sends,
		})
	}
	return state
}

func (b *Broadcaster) receive() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, err := b.socket.Read(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		var state lavwire.HostState
		if err := proto.Unmarshal(buffer[:count], &state); err != nil {
			b.Log.WithError(err).Debug("datagram cannot be decoded")
			continue
		}
		b.apply(&state, b.Clock())
	}
}

// apply stores the state that a peer has sent.
func (b *Broadcaster) apply(state *lavwire.HostState, now time.Time) {
	id := lavid.HostID(state.GetHostId())
	if id == "" || id == b.Peers.self.ID {
		return
	}
	member := lavring.Member{ID: id, DataCentre: lavid.DataCentreID(state.GetDataCentreId()), Address: state.GetAddress()}
	if b.Peers.recordDatagram(member, state.GetLeaving(), now) {
		b.Log.WithField(lavlog.FieldPeer, id).Info("peer heard for the first time")
	}
	loads := make(map[lavid.BackendServerID]lavload.Load, len(state.GetLoads()))
	for _, load := range state.GetLoads() {
		loads[lavid.BackendServerID(load.GetBackendServerId())] = lavload.Load{
			Requests: int(load.GetRequests()),
			Unread:   float64(load.GetUnreadTokens()),
			Memory:   lavid.Tokens(load.GetMemoryTokens()),
		}
	}
	b.Loads.SetPeerReport(lavload.Reporter{Host: id, Part: state.GetPart()}, loads, now)
	if state.GetPart() != 0 {
		return
	}
	counts := make(map[lavcutover.Key]lavcutover.Counts)
	for _, row := range state.GetCutovers() {
		b.applyCutover(row, counts, now)
	}
	b.Cutovers.SetPeerCounts(id, counts)
}

func (b *Broadcaster) applyCutover(row *lavwire.CutoverState, counts map[lavcutover.Key]lavcutover.Counts, now time.Time) {
	progress := lavcutover.Progress{
		Service:  lavid.ServiceID(row.GetServiceId()),
		To:       lavid.ReleaseID(row.GetReleaseId()),
		State:    lavcutover.State(row.GetState()),
		Began:    time.Duration(row.GetBeganMillis()) * time.Millisecond,
		Duration: time.Duration(row.GetDurationMillis()) * time.Millisecond,
	}
	if progress.State != "" && b.Cutovers.ApplyRow(progress, row.GetRowVersion(), now) {
		b.Log.WithFields(logrus.Fields{"service": progress.Service, "release": progress.To, "state": progress.State}).Info("cutover changed by a peer")
	}
	for _, count := range row.GetCounts() {
		key := lavcutover.Key{Service: progress.Service, Release: lavid.ReleaseID(count.GetReleaseId()), Kind: count.GetKind()}
		counts[key] = lavcutover.Counts{
			Failures: sample(count.GetAnswers(), count.GetFailed()),
			Slow:     sample(count.GetPaced(), count.GetSlow()),
			Longer:   sample(count.GetTimed(), count.GetLonger()),
			Sends:    count.GetSends(),
		}
	}
}
