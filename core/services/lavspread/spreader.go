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
	// newsFanout is how many peers are told of a new number at once.
	newsFanout = 3
	// maxExchangeBytes bounds a message.
	maxExchangeBytes = 16 << 20
	// idleConnections bounds the connections that are kept to peers.
	idleConnections = 32
	// idleTimeout closes a connection that was not used.
	idleTimeout = time.Minute
)

// Peers gives the hosts to exchange with.
type Peers interface {
	Self() lavmembership.Member
	Count() int
	Pick(count int, random *rand.Rand, now time.Time) []lavmembership.Member
	PickRemote(count int, random *rand.Rand, now time.Time) []lavmembership.Member
	Heard(member lavmembership.Member, now time.Time)
	Failed(id lavid.HostID, now time.Time)
	// KnowsEntry tells whether an entry host besides this one is known.
	KnowsEntry(now time.Time) bool
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
	lavlife.DoneSignal
	options Options
	replica *Replica
	reader  reader
	catcher catcher
	metrics *lavmetric.Set
}

// New returns a spreader that does nothing until Run.
func New(options Options) *Spreader {
	return &Spreader{
		options: options,
		replica: NewReplica(options.Peers.Self(), options.Current),
		reader:  reader{self: options.Peers.Self().ID},
		catcher: catcher{slot: make(chan struct{}, 1)},
		metrics: lavmetric.NewSet(),
	}
}

// NewHTTPClient returns a client for peers that keeps few connections and none after a timeout.
func NewHTTPClient(config *tls.Config) *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	transport := &http.Transport{
		TLSClientConfig:     config,
		Protocols:           protocols,
		MaxIdleConns:        idleConnections,
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
	s.options.Peers.Heard(Sender(request), now)
	s.metrics.Count("ExchangesAnswered", 1)
	return s.replica.Answer(request, s.options.Peers.Self().Leaving, now)
}

// Run exchanges with peers and reads the store until ctx ends.
func (s *Spreader) Run(ctx context.Context) {
	defer s.Finish()
	var parts conc.WaitGroup
	for range exchangeLoops {
		parts.Go(func() { s.exchangeOften(ctx) })
	}
	parts.Go(func() { lavlife.Tick(ctx, readTick, func(now time.Time) { s.read(ctx, now) }) })
	parts.Go(func() { s.tellNews(ctx) })
	parts.Wait()
}

func (s *Spreader) exchangeOften(ctx context.Context) {
	lavlife.Sleep(ctx, rand.N(exchangeInterval))
	lavlife.Tick(ctx, exchangeInterval, func(now time.Time) {
		for _, peer := range s.pick(1, now) {
			s.exchange(ctx, peer)
		}
	})
}

// pick returns live peers, and a seed while no other entry host is known.
func (s *Spreader) pick(count int, now time.Time) []lavmembership.Member {
	peers := s.options.Peers.Pick(count, newRandom(), now)
	if len(s.options.Seeds) == 0 || s.options.Peers.KnowsEntry(now) {
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
	message := s.replica.Greeting(s.options.Peers.Self().Leaving)
	reply, err := s.ask(ctx, peer, message)
	if err != nil {
		return
	}
	if reply.GetWantDocument() || s.replica.behind(reply) {
		s.push(ctx, peer, reply)
	}
}

// ask sends a message and takes over the reply; a reply whose patches do not fit is asked for as a whole document.
func (s *Spreader) ask(ctx context.Context, peer lavmembership.Member, message *lavwire.ConfigExchange) (*lavwire.ConfigExchange, error) {
	reply, err := s.call(ctx, peer, message)
	if !errors.Is(err, errDigest) {
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
		s.options.Peers.Failed(peer.ID, now)
		return nil, err
	}
	if peer.ID != "" && peer.ID != lavid.HostID(reply.GetSenderId()) {
		s.options.Peers.Failed(peer.ID, now)
	}
	s.options.Peers.Heard(Sender(reply), now)
	s.reader.heard(now)
	if err := s.replica.Apply(reply, now); err != nil {
		return nil, err
	}
	s.replica.LearnFrom(reply, sent)
	return reply, nil
}

// push sends a peer what it lacks and returns its number afterwards.
func (s *Spreader) push(ctx context.Context, peer lavmembership.Member, known *lavwire.ConfigExchange) lavid.ConfigNumber {
	for range 2 {
		message := s.replica.Greeting(s.options.Peers.Self().Leaving)
		message.Push = true
		if err := s.replica.Fill(message, known); err != nil {
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
		known = reply
	}
	return 0
}

// tellNews pushes each new number to a few peers at once.
func (s *Spreader) tellNews(ctx context.Context) {
	for {
		changed := s.options.Current.Changed()
		s.tellPeers(ctx, s.pick(newsFanout, time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// tellPeers pushes the present number to peers that are expected to have the one before it.
func (s *Spreader) tellPeers(ctx context.Context, peers []lavmembership.Member) []lavmembership.Member {
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
	var told []lavmembership.Member
	for i, peer := range peers {
		if reached[i] {
			told = append(told, peer)
		}
	}
	return told
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
	evidence := s.options.Current.Evidence()
	state := State{
		Number:     evidence.Number,
		InForce:    s.options.Current.InForce(now) != nil,
		VouchAges:  make(map[lavid.DataCentreID]string),
		Hosts:      s.options.Peers.Count(),
		StoreReads: s.metrics.Value("StoreReads"),
		Exchanges:  s.metrics.Value("Exchanges"),
	}
	if !evidence.Confirmed.IsZero() {
		state.ConfirmedAge = elapsed(evidence.Confirmed, now).String()
	}
	for id, heard := range evidence.Vouches {
		state.VouchAges[id] = elapsed(heard, now).String()
	}
	return state
}
