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

// Version is a state of the store that changes can be asked for from.
type Version float64

// Source reads the platform's store; every method fails when the store gives no answer.
type Source interface {
	Servers(ctx context.Context) ([]lavserver.Server, error)
	Operations(ctx context.Context) (Operations, Version, error)
	// WaitForChange waits for a change of what operators want and returns the version to go on from; it fails when the
	// history since after is gone.
	WaitForChange(ctx context.Context, after Version, wait time.Duration) (bool, Version, error)
}

// Settings are the intervals of a watcher.
type Settings struct {
	// ListInterval separates two listings of the backend servers.
	ListInterval time.Duration
	// CallTimeout bounds one read.
	CallTimeout time.Duration
	// ChangeWait is how long the store is asked to wait for a change.
	ChangeWait time.Duration
	// RetryPause separates the first two tries while the store gives no answer; it doubles up to LongestPause.
	RetryPause    time.Duration
	MaxRetryPause time.Duration
}

// Watcher reads the store until its context ends.
type Watcher struct {
	lavlife.Part
	Settings  Settings
	Source    Source
	Current   *Current
	Directory *lavdirectory.Directory
	// OnOrders takes the roll-outs that operators ask for.
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

// listServers takes over one listing and tells whether it could be had.
func (w *Watcher) listServers(ctx context.Context) bool {
	listCtx, cancel := context.WithTimeout(ctx, w.Settings.CallTimeout)
	defer cancel()
	servers, err := w.Source.Servers(listCtx)
	now := w.Clock()
	if err != nil {
		w.Directory.ReadFailed()
		w.logStoreState(err)
		return false
	}
	w.logStoreState(nil)
	for _, change := range w.Directory.Read(servers, now) {
		w.Log.WithFields(logrus.Fields{
			lavlog.FieldServer: change.Server.ID,
			"service":          change.Server.Service,
			"release":          change.Server.Release,
			"cold_ms":          change.Server.ColdFor.Milliseconds(),
		}).Info("backend server " + change.What)
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
			// Whatever was missed is in the rows themselves.
			upToDate = false
			backoff.wait(ctx)
			continue
		}
		backoff.reset()
		w.Current.Confirm(w.Clock())
		// A lower version is another store's, as after a change of its address.
		after, upToDate = next, !changed && next >= after
	}
}

// readOperations takes over all that operators want.
func (w *Watcher) readOperations(ctx context.Context) (Version, bool) {
	readCtx, cancel := context.WithTimeout(ctx, w.Settings.CallTimeout)
	defer cancel()
	operations, version, err := w.Source.Operations(readCtx)
	if err != nil {
		w.Log.WithError(err).Debug("operators' rows could not be read")
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
	if w.Directory.Evacuate(centres) {
		w.Log.WithField("data_centres", centres).Info("evacuated data centres changed")
	}
}
