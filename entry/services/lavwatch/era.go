package lavwatch

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/services/lavnews"
	"lavenderswitch/core/services/lavrestore"
)

// eraState holds the latest era of the store that this host has learnt of.
type eraState struct {
	mu     sync.Mutex
	latest lavrevision.Era
	// firstAt is when this host learnt its first era, and heardPeers states that it knows what another host knows.
	firstAt    time.Time
	heardPeers bool
}

// rise takes over an era and reports whether it is later than all before.
func (e *eraState) rise(era lavrevision.Era, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.latest {
		return false
	}
	if e.latest == 0 {
		e.firstAt = now
	}
	e.latest = era
	return true
}

// Era returns the latest era of the store that this host has learnt of.
func (w *Watcher) Era() lavrevision.Era {
	w.eras.mu.Lock()
	defer w.eras.mu.Unlock()
	return w.eras.latest
}

// observeEra records the era of a read, by this host or another one, before what was read is applied. Known is what this host knew of
// the part before, and may be nil.
func (w *Watcher) observeEra(known *lavnews.Edition, read lavrevision.Revision, source lavid.HostID) {
	now := w.Clock()
	if !w.eras.rise(read.Era, now) {
		return
	}
	if w.OnEra != nil {
		w.OnEra(read.Era, now)
	}
	if known == nil {
		return
	}
	w.Directory.StoreReturned(now)
	w.Metrics.countReturn(source)
	w.Log.WithFields(logrus.Fields{
		"era": read.Era, "version": read.Version, "version_before": known.Version, "era_before": known.Era, "read_by": source,
	}).Warn("store came back from a copy; what it lacks stays in force")
}

// keepOperations returns the operators' rows that are in force after a read, with those that a store which came back from a copy lacks.
func (w *Watcher) keepOperations(read Snapshot, operations Operations, now time.Time) (Snapshot, Operations) {
	rows, err := w.Source.OperatorRows(read)
	if err != nil {
		w.Log.WithError(err).Warn("operators' rows cannot be compared with those before the store's return")
		return read, operations
	}
	merged := w.keeper.Merge(rows, read.Revision, now)
	held := w.keeper.Held()
	if len(held) == 0 {
		return read, operations
	}
	kept, operations, err := w.encodeKept(merged, read.Revision)
	if err != nil {
		w.Log.WithError(err).Warn("operators' rows cannot be kept in force")
		return read, operations
	}
	w.Log.WithField("rows", held).Info("operators' rows that the store lacks stay in force")
	return kept, operations
}

// encodeKept returns the rows in force as a snapshot of a revision, and their content.
func (w *Watcher) encodeKept(rows []lavrestore.Row, revision lavrevision.Revision) (Snapshot, Operations, error) {
	kept, err := w.Source.EncodeOperatorRows(rows)
	if err != nil {
		return Snapshot{}, Operations{}, err
	}
	kept.Revision = revision
	operations, err := w.Source.DecodeOperations(kept.Data)
	if err != nil {
		return Snapshot{}, Operations{}, err
	}
	w.operations.Apply(kept.Digest)
	return kept, operations, nil
}

// adoptOperations takes over what another host holds of the operators' rows. Its read is not later than this host's, which knows the copy
// only if it has started after the store's return.
func (w *Watcher) adoptOperations(read Snapshot, source lavid.HostID) {
	w.operations.applying.Lock()
	defer w.operations.applying.Unlock()
	if read.Era != w.Era() {
		return
	}
	log := w.Log.WithField(lavlog.FieldPeer, source)
	rows, err := w.Source.OperatorRows(read)
	if err != nil {
		log.WithError(err).Warn("operators' rows cannot be decoded; they are not used")
		return
	}
	w.heardPeers()
	now := w.Clock()
	adopted, changed := w.keeper.Adopt(rows, read.Revision, now)
	if !changed {
		return
	}
	kept, operations, err := w.encodeKept(adopted, w.operations.snapshot.Revision)
	if err != nil {
		log.WithError(err).Warn("operators' rows cannot be kept in force")
		return
	}
	w.operations.snapshot = kept
	log.WithField("rows", w.keeper.Held()).Info("operators' rows that the store lacks are taken over from another host")
	w.putInForce(operations, source, 0, now)
}

// operationsExpired reports whether operators' rows that the store lacks need not be kept in force any more.
func (w *Watcher) operationsExpired() bool {
	w.operations.applying.Lock()
	defer w.operations.applying.Unlock()
	return w.keeper.Expired(w.Clock())
}

// peerWait is how long a host that has just started waits for what other hosts know, if the store has come back from a copy in the
// past. It is well below the time for which requests wait for the start of their host.
const peerWait = time.Second

// AwaitsPeers reports whether this host, which has read the store, may still learn from others what the store lacks since it came back
// from a copy.
func (w *Watcher) AwaitsPeers(now time.Time) bool {
	w.eras.mu.Lock()
	defer w.eras.mu.Unlock()
	return w.eras.latest > 0 && !w.eras.heardPeers && now.Sub(w.eras.firstAt) < peerWait
}

// knowsStoreOnly reports whether this host has read a store that states eras, and does not know what other hosts know.
func (w *Watcher) knowsStoreOnly() bool {
	w.eras.mu.Lock()
	defer w.eras.mu.Unlock()
	return w.eras.latest > 0 && !w.eras.heardPeers
}

// heardPeers records that this host knows what another one knows of the operators' rows.
func (w *Watcher) heardPeers() {
	w.eras.mu.Lock()
	defer w.eras.mu.Unlock()
	w.eras.heardPeers = true
}
