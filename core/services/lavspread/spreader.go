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

// The rates that bound what a host spends on configuration, whatever the number of hosts.
const (
	// exchangeInterval separates the exchanges of one of the loops.
	exchangeInterval = 500 * time.Millisecond
	// exchangeLoops ask one peer each.
	exchangeLoops = 2
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 1500 * time.Millisecond
	// pushFanout is how many peers are told of a new number at once.
	pushFanout = 3
	// maxExchangeBytes bounds a message.
	maxExchangeBytes = 16 << 20
	// maxIdleConnections bounds the connections that are kept to peers.
	maxIdleConnections = 32
	// idleTimeout closes a connection that was not used.
	idleTimeout = time.Minute
)

// Peers gives the hosts to exchange with.
type Peers interface {
	Self() lavmembership.Member
	Count() int
	Pick(count int, random *rand.Rand, now time.Time) []lavmembership.Member
	PickRemote(count int, random *rand.Rand, now time.Time) []lavmembership.Member
	RecordContact(member lavmembership.Member, now time.Time)
	RecordFailure(id lavid.HostID, now time.Time)
	// KnowsEntry tells whether an entry host besides this one is known.
	HasEntryHost(now time.Time) bool
}

// Options are what a Spreader works with.
type Options struct {
	Rows    Rows
	Peers   Peers
	Current *Current
	// Client speaks to peers; see NewHTTPClient.
	Client *http.Client
	// Scheme precedes the address of a peer, such as "http://".
	Scheme string
	// Seeds are addresses of hosts to ask while no other entry host is known.
	Seeds []string
	Log   *logrus.Logger
}

// Spreader keeps this host on the highest configuration number and tells peers of it.
type Spreader struct {
	lavlife.Part
	options      Options
	replica      *Replica
	readSchedule readSchedule
	fetchLimiter fetchLimiter
	metrics      *lavmetric.Set
}

// New returns a spreader that does nothing until Run.
func New(options Options) *Spreader {
	return &Spreader{
		options:      options,
		replica:      NewReplica(options.Peers.Self(), options.Current),
		readSchedule: readSchedule{self: options.Peers.Self().ID},
		fetchLimiter: fetchLimiter{running: make(chan struct{}, 1)},
		metrics:      lavmetric.NewSet(),
	}
}

// NewHTTPClient returns a client for peers that keeps few connections and none after a timeout.
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

// Metrics returns the counters of this part, to be published by the process.
func (s *Spreader) Metrics() *lavmetric.Set {
	return s.metrics
}

// Path is where Handler has to be mounted.
const Path = lavwire.ConfigPathPrefix

// Handler returns the handler that answers peers.
func (s *Spreader) Handler() http.Handler {
	return http.MaxBytesHandler(lavwire.NewConfigServer(s), maxExchangeBytes)
}

// Exchange answers a peer.
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

// pickPeers returns live peers, and a seed while no other entry host is known.
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

// exchange compares numbers with a peer and brings whoever is behind up to date.
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

// pull sends a message and takes over the reply; a reply whose patches do not fit is asked for as a whole document.
func (s *Spreader) pull(ctx context.Context, peer lavmembership.Member, message *lavwire.ConfigExchange) (*lavwire.ConfigExchange, error) {
	reply, err := s.call(ctx, peer, message)
	if !errors.Is(err, errDigestMismatch) {
		return reply, err
	}
	s.metrics.Count("DigestMismatches", 1)
	message.WantDocument = true
	return s.call(ctx, peer, message)
}

// call sends one message; the reply's ages count from before it was sent.
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

// push sends a peer what it lacks and returns its number afterwards.
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

// pushNewNumbers pushes each new number to a few peers at once.
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

// pushToPeers pushes the present number to peers that are expected to have the one before it.
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

// State is what a dump shows of this part.
type State struct {
	Number       lavid.ConfigNumber
	InForce      bool
	ConfirmedAge string
	VouchAges    map[lavid.DataCentreID]string
	Hosts        int
	StoreReads   int64
	Exchanges    int64
}

// Dump returns the present state.
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
