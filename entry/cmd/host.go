package lavcmd

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"lavenderswitch/core/modules/lavdump"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavmetric"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavbill"
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/core/services/lavmembership"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/core/services/lavrating"
	"lavenderswitch/core/services/lavretry"
	"lavenderswitch/core/services/lavsession"
	"lavenderswitch/core/services/lavspread"
	"lavenderswitch/entry/models/lavsetting"
	"lavenderswitch/entry/routers/lavcaller"
	"lavenderswitch/entry/routers/lavpeer"
	"lavenderswitch/entry/services/lavattempt"
	"lavenderswitch/entry/services/lavexposure"
	"lavenderswitch/entry/services/lavfleet"
	"lavenderswitch/entry/services/lavgate"
	"lavenderswitch/entry/services/lavpin"
	"lavenderswitch/entry/services/lavrater"
	"lavenderswitch/entry/services/lavserve"
	"lavenderswitch/entry/services/lavtrace"
	"lavenderswitch/wire/lavwire"
)

const (
	// attachTimeout bounds the time for reattaching to an attempt after a lost connection.
	attachTimeout = 3 * time.Second
	// sessionPins is the maximum number of session pins in memory.
	sessionPins = 100_000
	// recentTraces is the number of requests whose traces are kept.
	recentTraces = 500
)

// host holds the components of a running entry host.
type host struct {
	settings      lavsetting.Settings
	log           *logrus.Logger
	platform      *lavplatform.Client
	current       *lavspread.Current
	members       *lavmembership.Table
	spreader      *lavspread.Spreader
	fleet         *lavfleet.Fleet
	gate          *lavgate.Gate
	retries       *lavretry.Budget
	bills         *lavbill.Writer
	exposureOwner *lavexposure.Owner
	reporter      *lavexposure.Reporter
	rater         *lavrater.Rater
	pins          *lavpin.Owner
	resolver      *lavpin.Resolver
	service       *lavserve.Service
	traces        *lavtrace.Ring
	metrics       *lavmetric.Set
	dump          *lavdump.Registry
	// transport makes the connections to peers and side processes. scheme precedes their addresses.
	transport  *http.Transport
	scheme     string
	peerClient *http.Client
	router     *lavcaller.Router
	callers    *lavhttp.Server
	operators  *lavhttp.Server
	peers      *lavhttp.Server
	tasks      conc.WaitGroup
	background context.Context
	stop       context.CancelFunc
}

func newHost(settings lavsetting.Settings, log *logrus.Logger) (*host, error) {
	h := &host{
		settings: settings,
		log:      log,
		platform: lavplatform.NewClient(settings.PlatformAddress),
		current:  lavspread.NewCurrent(),
		fleet:    lavfleet.New(settings.HostID, settings.DataCentre),
		retries:  lavretry.New(),
		traces:   lavtrace.NewRing(recentTraces),
		metrics:  lavmetric.NewSet(),
		dump:     lavdump.NewRegistry(),
	}
	h.gate = lavgate.New(h.current, h.fleet)
	h.gate.MaxWait = settings.QueueTimeout.Duration
	clientTLS, err := settings.TLS.Client()
	if err != nil {
		return nil, err
	}
	h.scheme = settings.TLS.Scheme()
	h.transport = lavattempt.NewTransport()
	h.transport.TLSClientConfig = clientTLS
	h.peerClient = &http.Client{Transport: h.transport}
	h.addSpread()
	h.bills = &lavbill.Writer{Pending: lavbill.NewPending(lavbill.MaxPending), Rows: h.platform, Hosts: h.members, Log: log}
	if err := h.addSessions(); err != nil {
		return nil, err
	}
	h.addEvidence()
	h.addService()
	h.background, h.stop = context.WithCancel(context.Background())
	h.metrics.Publish("Entry")
	h.dump.Register("Requests", func() any { return h.traces.Dump() })
	h.dump.Register("Queues", func() any { return h.gate.Dump() })
	h.dump.Register("Fleet", func() any { return h.fleet.Dump() })
	h.dump.Register("PendingBills", func() any { return h.bills.Pending.Len() })
	h.dump.Register("SessionPins", func() any { return h.pins.Pins.Len() })
	return h, nil
}

// addSpread creates the components that exchange the configuration between hosts and track the list of hosts.
func (h *host) addSpread() {
	h.members = lavmembership.New(lavmembership.Member{
		ID:         h.settings.HostID,
		Role:       lavplatform.RoleEntry,
		Address:    h.settings.PeerAddress,
		DataCentre: h.settings.DataCentre,
	})
	h.spreader = lavspread.New(lavspread.Options{
		Rows:    h.platform,
		Peers:   h.members,
		Current: h.current,
		Client:  lavspread.NewHTTPClient(h.transport.TLSClientConfig),
		Scheme:  h.scheme,
		Seeds:   h.settings.Seeds,
		Log:     h.log,
	})
	h.spreader.Metrics().Publish("Spread")
	h.dump.Register("Spread", func() any { return h.spreader.Dump(time.Now()) })
	h.dump.Register("Hosts", func() any { return h.members.Dump() })
}

func (h *host) addSessions() error {
	table, err := lavsession.NewTable(sessionPins)
	if err != nil {
		return err
	}
	h.pins = lavpin.NewOwner(lavpin.OwnerOptions{Host: h.settings.HostID, Pins: table, Rows: h.platform, Hosts: h.members, Log: h.log})
	h.resolver = &lavpin.Resolver{Host: h.settings.HostID, Members: h, Local: h.pins, HTTP: h.peerClient, Scheme: h.scheme, Log: h.log}
	h.pins.Replicator = h.resolver
	return nil
}

// addEvidence creates the components that collect evidence on versions and roll versions out.
func (h *host) addEvidence() {
	h.exposureOwner = lavexposure.NewOwner()
	h.exposureOwner.Host = h.settings.HostID
	h.exposureOwner.Configs = h.current
	h.exposureOwner.Patches = h.spreader
	h.exposureOwner.Members = h
	h.exposureOwner.Log = h.log
	settings := lavplan.DefaultSettings()
	settings.RatingErrors = lavplan.RatingErrors{FalseAccept: h.settings.RatingFalseAccept, FalseReject: h.settings.RatingFalseReject}
	settings.CheckCost = h.settings.RatingCost
	plans := lavplan.NewState(settings, lavevidence.NewTable(lavevidence.DefaultSettings()))
	h.reporter = &lavexposure.Reporter{
		Host:    h.settings.HostID,
		Configs: h.current,
		Members: h,
		Plans:   plans,
		Local:   h.exposureOwner,
		HTTP:    h.peerClient,
		Scheme:  h.scheme,
		Log:     h.log,
	}
	h.rater = &lavrater.Rater{
		Configs: h.current,
		Ratings: h.platform,
		Counts:  h.reporter,
		Plans:   plans,
		Breaker: lavrating.NewBreaker(lavrating.DefaultBreakerSettings()),
		Queue:   lavrating.NewQueue(lavrating.DefaultQueueSettings()),
	}
	h.dump.Register("Plans", func() any { return plans.Dump() })
	h.dump.Register("Rollouts", func() any { return h.exposureOwner.Dump() })
	h.dump.Register("RatingBreaker", func() any { return h.rater.Breaker.Dump() })
	h.dump.Register("RatingQueue", func() any { return h.rater.Queue.Dump() })
}

func (h *host) addService() {
	attempts := lavattempt.New(h.transport)
	attempts.SilenceTimeout = h.settings.SilenceTimeout.Duration
	attempts.AttachTimeout = attachTimeout
	attempts.Loads = h.fleet
	h.service = &lavserve.Service{
		Host:        h.settings.HostID,
		Configs:     h.current,
		Peers:       h.spreader,
		Attempts:    attempts,
		Sessions:    h.resolver,
		Seals:       lavledger.New(h.platform),
		Fleet:       h.fleet,
		Bills:       h.bills.Pending,
		Planner:     h.rater,
		Raters:      h.rater,
		Gate:        h.gate,
		Retries:     h.retries,
		Hedgers:     lavserve.NewHedgers(),
		Traces:      h.traces,
		Metrics:     h.metrics,
		Log:         h.log,
		Scheme:      h.scheme,
		BillsClient: func(base string) lavwire.Bills { return lavwire.NewBillsProtobufClient(base, h.peerClient) },
	}
}

func (h *host) listen(ctx context.Context) error {
	h.router = &lavcaller.Router{Configs: h.current, Server: h.service, RequestTimeout: h.settings.RequestTimeout.Duration}
	operators := h.operatorRouter()
	peers := &lavpeer.Router{Sessions: h.pins, Bills: h.bills, Evidence: h.exposureOwner, Config: h.spreader.Handler()}
	serverTLS, err := h.settings.TLS.ServerWithoutClientAuth()
	if err != nil {
		return err
	}
	mutualTLS, err := h.settings.TLS.Server()
	if err != nil {
		return err
	}
	h.callers, err = lavhttp.Listen(ctx, h.settings.CallerAddress, h.router.Routes(), serverTLS, lavhttp.DefaultLimits())
	if err != nil {
		return err
	}
	h.operators, err = lavhttp.Listen(ctx, h.settings.OperatorAddress, operators.Routes(), serverTLS, lavhttp.DefaultLimits())
	if err != nil {
		return err
	}
	h.peers, err = lavhttp.Listen(ctx, h.settings.PeerAddress, peers.Routes(), mutualTLS, lavhttp.DefaultLimits())
	return err
}
