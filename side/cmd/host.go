package lavcmd

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavdump"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavmetric"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavanswer"
	"lavenderswitch/core/services/lavbill"
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/core/services/lavmembership"
	"lavenderswitch/core/services/lavorder"
	"lavenderswitch/core/services/lavspread"
	"lavenderswitch/side/models/lavsetting"
	"lavenderswitch/side/routers/lavadmin"
	"lavenderswitch/side/routers/lavattempt"
	"lavenderswitch/side/services/lavbackend"
	"lavenderswitch/side/services/lavdispatch"
	"lavenderswitch/side/services/lavengine"
	"lavenderswitch/side/services/lavholder"
)

const (
	// connectTimeout bounds the time to open a connection to another process.
	connectTimeout = 500 * time.Millisecond
	// confirmAfter is the age from which a ledger row must be read again before its call is dispatched. It is
	// below lavledger.SettleDelay, so that a call is not dispatched after an operator has settled it.
	confirmAfter = lavledger.SettleDelay / 2
)

// host holds the components of a side process.
type host struct {
	settings   lavsetting.Settings
	log        *logrus.Logger
	processID  lavledger.ProcessID
	platform   *lavplatform.Client
	backend    *lavbackend.Client
	current    *lavspread.Current
	members    *lavmembership.Table
	spreader   *lavspread.Spreader
	bills      *lavbill.Writer
	outbox     *lavledger.Outbox
	dispatcher *lavdispatch.Dispatcher
	reconciler *lavorder.Reconciler
	hosts      *hostList
	router     *lavattempt.Router
	server     *lavhttp.Server
	admin      *lavhttp.Server
	metrics    *lavmetric.Set
	dump       *lavdump.Registry
	// scheme and transport are used for calls to other processes of the system.
	scheme     string
	transport  *http.Transport
	tasks      conc.WaitGroup
	background context.Context
	stop       context.CancelFunc
}

// newHost creates the components of a side process and opens its listeners. Nothing runs until start is called.
func newHost(ctx context.Context, settings lavsetting.Settings, log *logrus.Logger) (*host, error) {
	h := &host{
		settings:  settings,
		log:       log,
		processID: lavledger.ProcessID(uuid.NewString()),
		platform:  lavplatform.NewClient(settings.PlatformAddress),
		backend:   lavbackend.NewClient(settings.BackendAddress),
		current:   lavspread.NewCurrent(),
		metrics:   lavmetric.NewSet(),
		dump:      lavdump.NewRegistry(),
	}
	client, err := settings.TLS.Client()
	if err != nil {
		return nil, err
	}
	h.scheme = settings.TLS.Scheme()
	h.transport = newTransport(client)
	h.background, h.stop = context.WithCancel(context.Background())
	h.addSpreader()
	h.bills = &lavbill.Writer{Pending: lavbill.NewPending(lavbill.MaxPending), Rows: h.platform, Hosts: h.members, Log: log}
	h.addDispatcher()
	h.addReconciler()
	h.registerDiagnostics()
	return h, h.listen(ctx)
}

func newTransport(client *tls.Config) *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: time.Minute, TLSClientConfig: client}
}

// addSpreader creates the membership table and the spreader, which keep the list of hosts and the configuration current.
func (h *host) addSpreader() {
	h.members = lavmembership.New(lavmembership.Member{
		ID:         h.settings.HostID,
		Role:       lavplatform.RoleSide,
		Address:    h.settings.Address,
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
}

// addDispatcher creates the dispatcher, its outbox for outcomes and the host list that starts and ends its draining.
func (h *host) addDispatcher() {
	ledger := lavledger.New(h.platform)
	h.outbox = lavledger.NewOutbox(ledger, h.settings.OutcomeBytes)
	h.dispatcher = lavdispatch.New(lavdispatch.Options{
		Server:  h.settings.BackendServer,
		Holder:  h.settings.Address,
		Process: h.processID,
		Configs: h,
		Backend: h.backend,
		Ledger:  ledger,
		Outbox:  h.outbox,
		Holders: lavholder.New(h.scheme, h.transport),
		Bills:   h.bills.Pending,
		Budget:  lavanswer.NewBudget(h.settings.AnswerBytes),
		Metrics: h.metrics,
		Log:     h.log,
		Limits: lavdispatch.Limits{
			KeepAnswers:    h.settings.KeepAnswers.Duration,
			KeepAttempts:   h.settings.KeepAttempts.Duration,
			AnswerWindow:   h.settings.AnswerWindowBytes,
			MaxAnswerBytes: h.settings.MaxAnswerBytes,
			SilenceTimeout: h.settings.SilenceTimeout.Duration,
			CallTimeout:    h.settings.CallTimeout.Duration,
			OutcomeTimeout: h.settings.OutcomeTimeout.Duration,
			OrphanTimeout:  h.settings.OrphanTimeout.Duration,
			ConfirmAfter:   confirmAfter,
		},
	}, time.Now())
	h.hosts = &hostList{platform: h.platform, onUpdate: h.dispatcher.ApplyHostList}
}

// addReconciler creates the reconciler, which orders the engine to load and unload versions.
func (h *host) addReconciler() {
	counter := &lavengine.VersionCounter{
		Server:   h.settings.BackendServer,
		Document: h.current.Document,
		Scheme:   h.scheme,
		HTTP:     &http.Client{Transport: h.transport},
	}
	h.reconciler = &lavorder.Reconciler{
		Server:  h.settings.BackendServer,
		Fence:   lavorder.NewFence(h.platform, h.settings.BackendServer, string(h.processID)),
		Slots:   lavorder.NewSlots(h.platform, string(h.processID)),
		Engine:  &lavengine.Engine{Backend: h.backend},
		Weights: h.platform,
		Warm:    counter,
		Log:     h.log,
	}
}

// registerDiagnostics publishes the metrics and registers the sections of the state dump.
func (h *host) registerDiagnostics() {
	h.metrics.Publish("Side")
	h.spreader.Metrics().Publish("Spread")
	h.dump.Register("Spread", func() any { return h.spreader.Dump(time.Now()) })
	h.dump.Register("Hosts", func() any { return h.members.Dump() })
	h.dump.Register("Load", func() any { return h.dispatcher.Load() })
	h.dump.Register("Attempts", func() any { return h.dispatcher.Dump() })
	h.dump.Register("Decisions", func() any { return h.dispatcher.Decisions.Dump() })
	h.dump.Register("PendingOutcomes", func() any { return h.outbox.Len() })
	h.dump.Register("PendingBills", func() any { return h.bills.Pending.Len() })
}

// listen opens the listener for other processes, and the one for operators when AdminAddress is set.
func (h *host) listen(ctx context.Context) error {
	h.router = &lavattempt.Router{
		Dispatcher:        h.dispatcher,
		HeartbeatInterval: h.settings.HeartbeatInterval.Duration,
		Bills:             h.bills,
		Config:            h.spreader.Handler(),
	}
	peerTLS, err := h.settings.TLS.Server()
	if err != nil {
		return err
	}
	h.server, err = lavhttp.Listen(ctx, h.settings.Address, h.router.Routes(), peerTLS, lavhttp.DefaultLimits())
	if err != nil || h.settings.AdminAddress == "" {
		return err
	}
	adminTLS, err := h.settings.TLS.ServerWithoutClientAuth()
	if err != nil {
		return err
	}
	admin := &lavadmin.Router{KeyHashes: h.settings.OperatorKeyHashes, Dump: h.dump}
	h.admin, err = lavhttp.Listen(ctx, h.settings.AdminAddress, admin.Routes(), adminTLS, lavhttp.DefaultLimits())
	return err
}

// InForce returns the configuration that may be used for new work at now, or nil when there is none.
func (h *host) InForce(now time.Time) *lavconfig.Document {
	return h.current.InForce(now)
}

// CatchUp fetches a configuration with at least the given number from the sender of an attempt, or from the store when
// the sender has none, and reports whether it succeeded.
func (h *host) CatchUp(ctx context.Context, sender lavid.HostID, number lavid.ConfigNumber) bool {
	address := ""
	for _, member := range h.members.Live(time.Now()) {
		if member.ID == sender {
			address = member.Address
		}
	}
	return h.spreader.CatchUp(ctx, address, number)
}
