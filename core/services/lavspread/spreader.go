package lavspread

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavmetric"
	"lavenderswitch/core/services/lavmembership"
	"lavenderswitch/wire/lavwire"
)

// The bounds on the messages of a host, whatever the number of hosts.
const (
	// exchangeInterval separates the exchanges of one loop.
	exchangeInterval = 500 * time.Millisecond
	// exchangeLoops is the number of loops; each asks one peer at a time.
	exchangeLoops = 2
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 1500 * time.Millisecond
	// pushFanout is the number of peers to which a host pushes a new number at once.
	pushFanout = 3
	// maxExchangeBytes bounds one message.
	maxExchangeBytes = 16 << 20
	// maxIdleConnections bounds the idle connections to all peers.
	maxIdleConnections = 32
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = time.Minute
)

// Peers provides the hosts to exchange configuration with, and records which of them answer.
type Peers interface {
	Self() lavmembership.Member
	Count() int
	Pick(count int, random *rand.Rand, now time.Time) []lavmembership.Member
	PickRemote(count int, random *rand.Rand, now time.Time) []lavmembership.Member
	RecordContact(member lavmembership.Member, now time.Time)
	RecordFailure(id lavid.HostID, now time.Time)
	// HasEntryHost reports whether the table contains a live entry host besides this one.
	HasEntryHost(now time.Time) bool
}

// Options holds the dependencies of a Spreader.
type Options struct {
	Rows    Rows
	Peers   Peers
	Current *Current
	// Client makes the calls to peers; see NewHTTPClient.
	Client *http.Client
	// Scheme precedes the address of a peer, such as "http://".
	Scheme string
	// Seeds are the addresses of hosts to ask while Peers has no other entry host.
	Seeds []string
	Log   *logrus.Logger
}

// Spreader keeps this host on the highest configuration number and distributes new numbers to peers.
type Spreader struct {
	lavlife.DoneSignal
	options      Options
	replica      *Replica
	readSchedule readSchedule
	fetchLimiter fetchLimiter
	metrics      *lavmetric.Set
}

// New returns a spreader that sends nothing until Run, Submit or CatchUp is called.
func New(options Options) *Spreader {
	return &Spreader{
		options:      options,
		replica:      NewReplica(options.Peers.Self(), options.Current),
		readSchedule: readSchedule{self: options.Peers.Self().ID},
		fetchLimiter: fetchLimiter{running: make(chan struct{}, 1)},
		metrics:      lavmetric.NewSet(),
	}
}

// NewHTTPClient returns a client for peers that keeps at most one idle connection to each. It uses HTTP/1, so that a
// connection on which a call timed out is closed and not used again.
func NewHTTPClient(config *tls.Config) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		TLSClientConfig:     config,
		Protocols:           protocols,
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
		TLSHandshakeTimeout: exchangeTimeout,
		DisableCompression:  true,
	}
	return &http.Client{Transport: transport}
}

// Metrics returns the counters of the spreader, to be published by the process.
func (s *Spreader) Metrics() *lavmetric.Set {
	return s.metrics
}

// Path is the path prefix at which Handler must be mounted.
const Path = lavwire.ConfigPathPrefix

// Handler returns the HTTP handler that answers peers.
func (s *Spreader) Handler() http.Handler {
	return http.MaxBytesHandler(lavwire.NewConfigServer(s), maxExchangeBytes)
}

// Exchange answers the request of a peer; it implements lavwire.Config.
func (s *Spreader) Exchange(_ context.Context, request *lavwire.ConfigExchange) (*lavwire.ConfigExchange, error) {
	now := time.Now()
	s.options.Peers.RecordContact(Sender(request), now)
	s.metrics.Count("ExchangesAnswered", 1)
	return s.replica.Answer(request, s.options.Peers.Self().Leaving, now)
}

// Run exchanges with peers and reads the store until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	defer s.Finish()
	var parts conc.WaitGroup
	for range exchangeLoops {
		parts.Go(func() { s.runExchanges(ctx) })
	}
	parts.Go(func() { lavlife.Tick(ctx, readCheckInterval, func(now time.Time) { s.readIfDue(ctx, now) }) })
	parts.Go(func() { s.pushNewNumbers(ctx) })
	parts.Wait()
}

func (s *Spreader) runExchanges(ctx context.Context) {
	lavlife.Sleep(ctx, rand.N(exchangeInterval))
	lavlife.Tick(ctx, exchangeInterval, func(now time.Time) {
		for _, peer := range s.pickPeers(1, now) {
			s.exchange(ctx, peer)
		}
	})
}

// pickPeers returns up to count live peers, and additionally a seed while no other entry host is in the table.
func (s *Spreader) pickPeers(count int, now time.Time) []lavmembership.Member {
	peers := s.options.Peers.Pick(count, newRandom(), now)
	if len(s.options.Seeds) == 0 || s.options.Peers.HasEntryHost(now) {
		return peers
	}
	seed := s.options.Seeds[rand.IntN(len(s.options.Seeds))]
	return append(peers, lavmembership.Member{Address: seed})
}

func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}

// exchange compares numbers with a peer; the side with the lower number receives the configuration.
func (s *Spreader) exchange(ctx context.Context, peer lavmembership.Member) {
	message := s.replica.StatusMessage(s.options.Peers.Self().Leaving)
	reply, err := s.pull(ctx, peer, message)
	if err != nil {
		return
	}
	if reply.GetWantDocument() || s.replica.behind(reply) {
		s.push(ctx, peer, reply)
	}
}

// pull sends a message and applies the reply; when the patches of the reply do not apply, it asks for the whole
// document.
func (s *Spreader) pull(ctx context.Context, peer lavmembership.Member, message *lavwire.ConfigExchange) (*lavwire.ConfigExchange, error) {
	reply, err := s.call(ctx, peer, message)
	if !errors.Is(err, errDigestMismatch) {
		return reply, err
	}
	s.metrics.Count("DigestMismatches", 1)
	message.WantDocument = true
	return s.call(ctx, peer, message)
}

// call sends one message and applies the reply. The ages in the reply count from before the message was sent.
func (s *Spreader) call(ctx context.Context, peer lavmembership.Member, message *lavwire.ConfigExchange) (*lavwire.ConfigExchange, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	sent := time.Now()
	s.metrics.Count("Exchanges", 1)
	client := lavwire.NewConfigProtobufClient(s.options.Scheme+peer.Address, s.options.Client)
	reply, err := client.Exchange(ctx, message)
	now := time.Now()
	if err != nil {
		s.metrics.Count("ExchangesFailed", 1)
		s.options.Peers.RecordFailure(peer.ID, now)
		return nil, err
	}
	if peer.ID != "" && peer.ID != lavid.HostID(reply.GetSenderId()) {
		s.options.Peers.RecordFailure(peer.ID, now)
	}
	s.options.Peers.RecordContact(Sender(reply), now)
	s.readSchedule.recordPeerAnswer(now)
	if err := s.replica.Apply(reply, now); err != nil {
		return nil, err
	}
	s.replica.MergeReply(reply, sent)
	return reply, nil
}

// push sends a peer the configuration that it lacks and returns the peer's number afterwards, or zero on failure.
func (s *Spreader) push(ctx context.Context, peer lavmembership.Member, peerStatus *lavwire.ConfigExchange) lavid.ConfigNumber {
	for range 2 {
		message := s.replica.StatusMessage(s.options.Peers.Self().Leaving)
		message.Push = true
		if err := s.replica.AddUpdates(message, peerStatus); err != nil {
			s.options.Log.WithError(err).Error("configuration could not be encoded for a peer")
			return 0
		}
		reply, err := s.call(ctx, peer, message)
		if err != nil {
			return 0
		}
		if !reply.GetWantDocument() && !s.replica.behind(reply) {
			return lavid.ConfigNumber(reply.GetNumber())
		}
		peerStatus = reply
	}
	return 0
}

// pushNewNumbers pushes each new number to pushFanout peers until ctx ends.
func (s *Spreader) pushNewNumbers(ctx context.Context) {
	for {
		changed := s.options.Current.Changed()
		s.pushToPeers(ctx, s.pickPeers(pushFanout, time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// pushToPeers pushes the current number to peers, which are expected to have the number before it, and returns the
// peers that have adopted it.
func (s *Spreader) pushToPeers(ctx context.Context, peers []lavmembership.Member) []lavmembership.Member {
	number := s.options.Current.Number()
	if number == 0 {
		return nil
	}
	reached := make([]bool, len(peers))
	var calls conc.WaitGroup
	for i, peer := range peers {
		calls.Go(func() {
			before := &lavwire.ConfigExchange{Number: uint64(number - 1)}
			reached[i] = s.push(ctx, peer, before) >= number
		})
	}
	calls.Wait()
	var updated []lavmembership.Member
	for i, peer := range peers {
		if reached[i] {
			updated = append(updated, peer)
		}
	}
	return updated
}

// State is the part of a state dump that describes the spreader.
type State struct {
	Number       lavid.ConfigNumber
	InForce      bool
	ConfirmedAge string
	VouchAges    map[lavid.DataCentreID]string
	Hosts        int
	StoreReads   int64
	Exchanges    int64
}

// Dump returns the state at now.
func (s *Spreader) Dump(now time.Time) State {
	freshness := s.options.Current.Freshness()
	state := State{
		Number:     freshness.Number,
		InForce:    s.options.Current.InForce(now) != nil,
		VouchAges:  make(map[lavid.DataCentreID]string),
		Hosts:      s.options.Peers.Count(),
		StoreReads: s.metrics.Value("StoreReads"),
		Exchanges:  s.metrics.Value("Exchanges"),
	}
	if !freshness.StoreConfirmed.IsZero() {
		state.ConfirmedAge = elapsed(freshness.StoreConfirmed, now).String()
	}
	for id, confirmed := range freshness.PeerConfirmed {
		state.VouchAges[id] = elapsed(confirmed, now).String()
	}
	return state
}
