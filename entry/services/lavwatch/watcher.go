package lavwatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavdirectory"
)

// Version numbers the states of the store's tables. A caller requests the changes after a version.
type Version float64

// Source reads the store. Every method returns an error when the store does not answer.
type Source interface {
	Servers(ctx context.Context) ([]lavserver.Server, error)
	Operations(ctx context.Context) (Operations, Version, error)
	// WaitForChange waits for a change of the operators' rows after a version. It reports whether there was one, and
	// returns the version to continue from. It fails when the store no longer has the changes since that version.
	WaitForChange(ctx context.Context, after Version, wait time.Duration) (bool, Version, error)
}

// Settings are the intervals and timeouts of a Watcher.
type Settings struct {
	// ListInterval separates two listings of the backend servers.
	ListInterval time.Duration
	// CallTimeout bounds one read.
	CallTimeout time.Duration
	// ChangeWait is how long the store may hold a request for changes open.
	ChangeWait time.Duration
	// RetryPause is the first pause between tries while the store does not answer. It doubles up to MaxRetryPause.
	RetryPause    time.Duration
	MaxRetryPause time.Duration
}

// Watcher reads the store until its context ends.
type Watcher struct {
	lavlife.DoneSignal
	Settings  Settings
	Source    Source
	Current   *Current
	Directory *lavdirectory.Directory
	// OnOrders is called after each read of the operators' rows, with the cutovers that operators have ordered.
	OnOrders func(orders []lavcutover.Order, now time.Time)
	Log      logrus.FieldLogger
	Clock    func() time.Time

	storeLost bool
}

// Run reads the store until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer w.Finish()
	var loops conc.WaitGroup
	defer loops.Wait()
	loops.Go(func() { w.watchServers(ctx) })
	loops.Go(func() { w.watchOperations(ctx) })
}

func (w *Watcher) watchServers(ctx context.Context) {
	backoff := w.newBackoff()
	for ctx.Err() == nil {
		if !w.listServers(ctx) {
			backoff.wait(ctx)
			continue
		}
		backoff.reset()
		lavlife.Sleep(ctx, w.Settings.ListInterval)
	}
}

// listServers applies one listing of the backend servers and reports whether the store answered.
func (w *Watcher) listServers(ctx context.Context) bool {
	listCtx, cancel := context.WithTimeout(ctx, w.Settings.CallTimeout)
	defer cancel()
	servers, err := w.Source.Servers(listCtx)
	now := w.Clock()
	if err != nil {
		w.Directory.ListingFailed()
		w.logStoreState(err)
		return false
	}
	w.logStoreState(nil)
	for _, change := range w.Directory.ApplyListing(servers, now) {
		w.Log.WithFields(logrus.Fields{
			lavlog.FieldServer: change.Server.ID,
			"service":          change.Server.Service,
			"release":          change.Server.Release,
			"cold_ms":          change.Server.ColdFor.Milliseconds(),
		}).Info("backend server " + change.Kind)
	}
	return true
}

// logStoreState logs each loss and return of the store once.
func (w *Watcher) logStoreState(err error) {
	switch {
	case err != nil && !w.storeLost:
		w.Log.WithError(err).Warn("store lost; going on with what is known")
	case err == nil && w.storeLost:
		w.Log.Info("store is back")
	}
	w.storeLost = err != nil
}

func (w *Watcher) watchOperations(ctx context.Context) {
	upToDate, after := false, Version(0)
	backoff := w.newBackoff()
	for ctx.Err() == nil {
		if !upToDate {
			if after, upToDate = w.readOperations(ctx); !upToDate {
				backoff.wait(ctx)
				continue
			}
		}
		waitCtx, cancel := context.WithTimeout(ctx, w.Settings.ChangeWait+w.Settings.CallTimeout)
		changed, next, err := w.Source.WaitForChange(waitCtx, after, w.Settings.ChangeWait)
		cancel()
		if err != nil {
			// A new read of the rows includes any missed changes.
			upToDate = false
			backoff.wait(ctx)
			continue
		}
		backoff.reset()
		w.Current.Confirm(w.Clock())
		// A lower version means that this is another store, for instance after a change of its address.
		after, upToDate = next, !changed && next >= after
	}
}

// readOperations applies the operators' rows. It returns their version and whether the store answered.
func (w *Watcher) readOperations(ctx context.Context) (Version, bool) {
	readCtx, cancel := context.WithTimeout(ctx, w.Settings.CallTimeout)
	defer cancel()
	operations, version, err := w.Source.Operations(readCtx)
	if err != nil {
		w.Log.WithError(err).Debug("reading the operators' rows failed")
		return 0, false
	}
	now := w.Clock()
	w.Current.Confirm(now)
	if w.Current.Update(operations.Table) {
		w.Log.WithField(lavlog.FieldConfig, operations.Table.Number).Info("configuration in force")
	}
	w.setEvacuated(operations.Evacuated)
	w.OnOrders(operations.Orders, now)
	return version, true
}

func (w *Watcher) setEvacuated(centres []lavid.DataCentreID) {
	if w.Directory.SetEvacuated(centres) {
		w.Log.WithField("data_centres", centres).Info("evacuated data centres changed")
	}
}
