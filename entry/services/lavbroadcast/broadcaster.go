package lavbroadcast

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavnews"
	"lavenderswitch/core/services/lavreport"
	"lavenderswitch/wire/lavwire"
)

const (
	// maxDatagramBytes is the size of the receive buffer. No UDP datagram is larger.
	maxDatagramBytes = 64 << 10
	// maxMessageBytes is the largest message that is sent, which leaves room for headers.
	maxMessageBytes = 60_000
)

// Broadcaster exchanges reports with the other entry hosts in datagrams until its context ends.
type Broadcaster struct {
	lavlife.DoneSignal
	// Self is this host; its address receives the datagrams.
	Self lavring.Member
	Node *lavreport.Node
	// OnNews is called with what a relay knows of the store. Total states that the message holds the rows of all cutovers.
	OnNews func(news *lavnews.News, from lavid.HostID, total bool, now time.Time)
	Log    logrus.FieldLogger
	Clock  func() time.Time

	socket *net.UDPConn
	// relays are the addresses of the relays that were logged last.
	relays []string
}

// Listen opens the UDP socket at this host's address.
func (b *Broadcaster) Listen() error {
	address, err := netip.ParseAddrPort(b.Self.Address)
	if err != nil {
		return errors.Wrap(err, "parse the address for datagrams; check IP and the internal ports of the settings")
	}
	b.socket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	return errors.Wrapf(err, "listen on %s; choose free internal ports in the settings", address)
}

// Run sends what is due and applies the datagrams of the other hosts until ctx ends.
func (b *Broadcaster) Run(ctx context.Context) {
	defer b.Finish()
	var receiving conc.WaitGroup
	receiving.Go(b.receive)
	for ctx.Err() == nil {
		b.send(b.Node.Tick(b.Clock()))
		b.logRelays()
		lavlife.Sleep(ctx, lavreport.TickInterval)
	}
	if err := b.socket.Close(); err != nil {
		b.Log.WithError(err).Debug("closing the datagram socket failed")
	}
	receiving.Wait()
}

// AnnounceLeaving tells all other hosts at once that this host accepts no new work.
func (b *Broadcaster) AnnounceLeaving() {
	b.send(b.Node.Leave(b.Clock()))
}

// logRelays logs which hosts serve as relays, whenever that changes.
func (b *Broadcaster) logRelays() {
	var ids []string
	for _, relay := range b.Node.Relays() {
		ids = append(ids, string(relay.ID))
	}
	if !slices.Equal(ids, b.relays) {
		b.Log.WithField("relays", ids).Info("relays changed")
		b.relays = ids
	}
}

func (b *Broadcaster) send(envelopes []lavreport.Envelope) {
	for _, envelope := range envelopes {
		data, err := marshal(envelope.Message)
		if err != nil {
			b.Log.WithError(err).Error("encoding a message for peers failed")
			continue
		}
		for _, text := range envelope.To {
			address, err := netip.ParseAddrPort(text)
			if err != nil {
				b.Log.WithError(err).WithField("address", text).Debug("address of a peer cannot be parsed")
				continue
			}
			// Datagrams may be lost anyway, so a failed send is ignored.
			_, _ = b.socket.WriteToUDPAddrPort(data, address)
		}
	}
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
		message, err := decode(&state)
		if err != nil {
			b.Log.WithError(err).Debug("datagram is not valid")
			continue
		}
		b.apply(message)
	}
}

// apply applies a message of another host.
func (b *Broadcaster) apply(message *lavreport.Message) {
	now := b.Clock()
	receipt := b.Node.Receive(message, now)
	if message.News != nil && receipt.Accepted && b.OnNews != nil {
		b.OnNews(message.News, message.From.ID, message.Kind == lavreport.KindTotal, now)
	}
	if receipt.NewPeer {
		b.Log.WithField(lavlog.FieldPeer, message.From.ID).Info("peer heard for the first time")
	}
	for _, progress := range receipt.Changed {
		b.Log.WithFields(logrus.Fields{"service": progress.Service, "release": progress.To, "state": progress.State}).Info("cutover changed by a peer")
	}
	b.send(receipt.Replies)
}
