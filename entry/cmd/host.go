package lavcmd

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/modules/lavdump"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavevidence"
	"lavenderswitch/core/services/lavplan"
	"lavenderswitch/core/services/lavspread"
	"lavenderswitch/entry/models/lavsetting"
	"lavenderswitch/entry/routers/lavcaller"
	"lavenderswitch/entry/routers/lavoperator"
	"lavenderswitch/entry/services/lavattempt"
	"lavenderswitch/entry/services/lavbilling"
	"lavenderswitch/entry/services/lavfleet"
	"lavenderswitch/entry/services/lavserve"
	"lavenderswitch/wire/lavwire"
)

// host holds the parts of an entry host.
type host struct {
	settings   lavsetting.Settings
	log        *logrus.Logger
	platform   *lavplatform.Client
	current    *lavspread.Current
	fleet      *lavfleet.Fleet
	billing    *lavbilling.Billing
	service    *lavserve.Service
	dump       *lavdump.Registry
	callers    *lavhttp.Server
	operators  *lavhttp.Server
	parts      conc.WaitGroup
	background context.Context
	stop       context.CancelFunc
}

func newHost(settings lavsetting.Settings, log *logrus.Logger) *host {
	h := &host{settings: settings, log: log, current: lavspread.NewCurrent(), fleet: lavfleet.New(), dump: lavdump.NewRegistry()}
	h.platform = lavplatform.NewClient(settings.PlatformAddress)
	h.billing = &lavbilling.Billing{Rows: h.platform, Configs: h.current, Log: log}
	attempts := lavattempt.New()
	attempts.SilenceTimeout = settings.SilenceTimeout.Duration
	attempts.AttachTimeout = attachTimeout
	attempts.Loads = h.fleet
	h.service = &lavserve.Service{
		Host:     settings.HostID,
		Configs:  h.current,
		Attempts: attempts,
		Fleet:    h.fleet,
		Bills:    h.billing,
		Plans:    lavplan.NewState(lavplan.DefaultSettings(), lavevidence.NewTable(lavevidence.DefaultSettings())),
		Log:      log,
		Scheme:   "http://",
	}
	h.dump.Register("Config", func() any { return h.current.Number() })
	h.background, h.stop = context.WithCancel(context.Background())
	return h
}

const attachTimeout = 5 * time.Second

func (h *host) listen(ctx context.Context) error {
	callers := &lavcaller.Router{Configs: h.current, Server: h.service, RequestTimeout: h.settings.RequestTimeout.Duration}
	operators := &lavoperator.Router{Configs: h, KeyHashes: h.settings.OperatorKeyHashes, Dump: h.dump}
	var err error
	h.callers, err = lavhttp.Listen(ctx, h.settings.CallerAddress, callers.Routes(), nil, lavhttp.DefaultLimits())
	if err != nil {
		return err
	}
	h.operators, err = lavhttp.Listen(ctx, h.settings.OperatorAddress, operators.Routes(), nil, lavhttp.DefaultLimits())
	return err
}

func (h *host) start() {
	h.serve(h.callers)
	h.serve(h.operators)
	h.tick(configTick, h.readConfig)
	h.tick(billTick, func(time.Time) { h.billing.Flush(h.background) })
	h.tick(loadTick, h.readLoads)
}

func (h *host) serve(server *lavhttp.Server) {
	h.parts.Go(func() {
		if err := server.Serve(); err != nil {
			h.log.WithError(err).Error("listener ended")
		}
	})
}

func (h *host) tick(interval time.Duration, step func(now time.Time)) {
	h.parts.Go(func() { lavlife.Tick(h.background, interval, step) })
}

func (h *host) readConfig(now time.Time) {
	if err := lavspread.ReadNewer(h.background, h.platform, h.current, now); err != nil {
		h.log.WithError(err).Warning("store gave no configuration; trying again at the next tick")
	}
}

// readLoads asks servers whose load was never reported, so that they can be chosen.
func (h *host) readLoads(time.Time) {
	document := h.current.Document()
	if document == nil {
		return
	}
	for _, row := range document.BackendServers {
		ctx, cancel := context.WithTimeout(h.background, loadTick)
		load, err := lavwire.NewSideProtobufClient("http://"+row.SideAddress, http.DefaultClient).ReadLoad(ctx, &lavwire.ReadLoadRequest{})
		cancel()
		if err == nil {
			h.fleet.Record(load, time.Now())
		}
	}
}

// Document returns the configuration in force here.
func (h *host) Document() *lavconfig.Document {
	return h.current.Document()
}

// Submit writes a patch and adopts the configuration that it gives.
func (h *host) Submit(ctx context.Context, patch lavspread.Patch) (*lavconfig.Document, error) {
	base := h.current.Document()
	if base == nil {
		base = &lavconfig.Document{}
	}
	document, err := lavspread.Submit(ctx, h.platform, base, patch)
	if err != nil {
		return nil, err
	}
	h.current.Adopt(document, time.Now())
	return document, nil
}

// shutDown ends the listeners once running requests are answered, then writes the last bills.
func (h *host) shutDown(ctx context.Context) error {
	err := h.callers.Shutdown(ctx)
	h.stop()
	operatorErr := h.operators.Shutdown(ctx)
	h.parts.Wait()
	h.billing.Flush(ctx)
	if err != nil {
		return err
	}
	return operatorErr
}
