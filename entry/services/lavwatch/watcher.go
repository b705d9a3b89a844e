package lavwatch

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavdirectory"
	"lavenderswitch/core/services/lavnews"
	"lavenderswitch/core/services/lavrestore"
)

// Part names a part of the store that all hosts need.
type Part string

// The parts of the store, under the names by which hosts fetch them from each other.
const (
	PartServers    Part = "servers"
	PartOperations Part = "operations"
)

// Snapshot is the content of a part of the store.
type Snapshot struct {
	lavrevision.Revision
	Digest lavnews.Digest
	// Data holds the rows in the encoding of the Source.
	Data []byte
}

// Source reads the store. Its reads return an error when the store does not answer.
type Source interface {
	// ReadServers reads the list of backend servers. A store sends a long list in parts; onPart gets all servers read so far after each
	// part but the last. If it returns false, ReadServers ends with ErrNotNeeded.
	ReadServers(ctx context.Context, onPart func([]lavserver.Server) bool) (Snapshot, error)
	ReadOperations(ctx context.Context) (Snapshot, error)
	// DecodeServers and DecodeOperations return the content of a snapshot, which may come from another host. They fail if it
	// is damaged, and skip unreadable rows.
	DecodeServers(data []byte) ([]lavserver.Server, error)
	DecodeOperations(data []byte) (Operations, error)
	// OperatorRows returns the rows in a snapshot of the operators' rows, and EncodeOperatorRows the snapshot of rows. Both are used
	// only if the store states eras.
	OperatorRows(snapshot Snapshot) ([]lavrestore.Row, error)
	EncodeOperatorRows(rows []lavrestore.Row) (Snapshot, error)
	// WaitForChange waits for a change of the operators' rows after a revision. It fails when the store no longer has the changes since
	// that revision, also because it came back from a copy.
	WaitForChange(ctx context.Context, after lavrevision.Revision, wait time.Duration) (Change, error)
}

// ErrNotNeeded is returned by Source.ReadServers if the rest of the list was not wanted any more.
var ErrNotNeeded = errors.New("the rest of the list is not needed")

// Change is the end of a wait for a change of the operators' rows.
type Change struct {
	// Changed reports whether the rows have changed.
	Changed bool
	// Next is the revision to continue from.
	Next lavrevision.Revision
	// AnsweredAt is when the store answered. The answer may have been on its way for long.
	AnsweredAt time.Time
}

// Fetcher fetches what another host knows of a part of the store, and the age of that knowledge.
type Fetcher interface {
	Fetch(ctx context.Context, address string, part Part) (Snapshot, time.Duration, error)
}

// Settings are the schedules and timeouts of a Watcher.
type Settings struct {
	// Servers and Operations decide when this host reads the parts of the store.
	Servers    lavnews.Schedule
	Operations lavnews.Schedule
	// CallTimeout bounds one read.
	CallTimeout time.Duration
	// RetryPause is the first pause between tries while the store does not answer. It doubles up to MaxRetryPause.
	RetryPause    time.Duration
	MaxRetryPause time.Duration
}

// maxScheduleCheck is how often a waiting watcher checks its schedule at least, as its rank and knowledge may change.
const maxScheduleCheck = 50 * time.Millisecond

// Watcher keeps this host's knowledge of the store up to date until its context ends.
type Watcher struct {
	lavlife.DoneSignal
	Settings  Settings
	Source    Source
	Current   *Current
	Directory *lavdirectory.Directory
	// OnEra is called with the era of the store, after each rise and before anything that was read in it is applied. It may be nil.
	OnEra func(era lavrevision.Era, now time.Time)
	// OnServers is called with each list of servers before it is applied. Initial states that it is the first one, or a part of it. It
	// may be nil.
	OnServers func(servers []lavserver.Server, initial bool, now time.Time)
	// OnOrders is called after each change of the operators' rows, with the cutovers that operators have ordered.
	OnOrders func(orders []lavcutover.Order, now time.Time)
	// Rank returns the place of this host among the readers of its data centre. Fetcher may be nil if there are no others.
	Rank    func() lavnews.Rank
	Fetcher Fetcher
	Metrics *Metrics
	Log     logrus.FieldLogger
	Clock   func() time.Time

	storeLost  bool
	eras       eraState
	servers    knownPart
	operations knownPart
	// keeper holds the operators' rows; it is used while the operations are applied.
	keeper lavrestore.Keeper
	// listed holds the servers of the latest listing, which was read at listedAt.
	listed   []lavserver.Server
	listedAt time.Time
	// complete states that a complete listing has been applied.
	complete bool
	// fetches are the running fetches; none begins once ended is set.
	fetchMutex sync.Mutex
	fetches    conc.WaitGroup
	ended      bool
}

// knownPart is what this host knows of a part of the store.
type knownPart struct {
	lavnews.Knowledge
	// applying is held while the content is applied, so that an earlier edition never follows a later one.
	applying sync.Mutex
	snapshot Snapshot
	fetching bool
}

// Run keeps the knowledge up to date until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	defer w.Finish()
	var loops conc.WaitGroup
	loops.Go(func() { w.watchServers(ctx) })
	loops.Go(func() { w.watchOperations(ctx) })
	loops.Wait()
	w.fetchMutex.Lock()
	w.ended = true
	w.fetchMutex.Unlock()
	w.fetches.Wait()
}

// awaitDue waits until a read of a part is due, or for maxScheduleCheck, and reports whether it is due.
func (w *Watcher) awaitDue(ctx context.Context, schedule lavnews.Schedule, part *knownPart) bool {
	now := w.Clock()
	wait := schedule.Due(&part.Knowledge, w.Rank()).Sub(now)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	lavlife.Sleep(ctx, min(wait, maxScheduleCheck))
	return false
}

func (w *Watcher) watchServers(ctx context.Context) {
	for ctx.Err() == nil {
		if w.awaitDue(ctx, w.Settings.Servers, &w.servers) {
			w.listServers(ctx)
		}
	}
}

// listServers reads the list of backend servers.
func (w *Watcher) listServers(ctx context.Context) {
	timeout := w.Settings.CallTimeout
	first := w.servers.Edition(w.Clock()) == nil
	if first {
		timeout *= firstListingCalls
	}
	listCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := w.Clock()
	w.servers.Attempted(began)
	snapshot, err := w.Source.ReadServers(listCtx, func(servers []lavserver.Server) bool {
		return !first || w.usePart(servers, began)
	})
	switch {
	case errors.Is(err, ErrNotNeeded):
		return
	case err != nil:
		w.Directory.ListingFailed()
		w.logStoreState(err)
		return
	}
	w.logStoreState(nil)
	w.applyServers(snapshot, began, "")
}

// firstListingCalls is how many times longer than a call the first listing may take. Of a long list over a weak link a host uses the
// parts that it has, and a listing that is given up begins anew.
const firstListingCalls = 4

// usePart uses the first part of the list that a host reads when it has just started, so that it can serve with that. It returns false
// if the host has learnt the whole list from another one meanwhile.
func (w *Watcher) usePart(servers []lavserver.Server, readAt time.Time) bool {
	w.servers.applying.Lock()
	defer w.servers.applying.Unlock()
	if w.servers.Edition(readAt) != nil {
		return false
	}
	w.noticeServers(servers, readAt)
	w.logChanges(w.Directory.ApplyPart(servers, readAt), readAt, "")
	return true
}

// applyServers applies a listing that was read at readAt by a host; the source is empty for this one.
func (w *Watcher) applyServers(snapshot Snapshot, readAt time.Time, source lavid.HostID) {
	w.servers.applying.Lock()
	defer w.servers.applying.Unlock()
	servers, err := w.Source.DecodeServers(snapshot.Data)
	if err != nil {
		w.Log.WithError(err).WithField(lavlog.FieldPeer, source).Warn("list of backend servers cannot be decoded; it is not used")
		return
	}
	known := w.servers.Edition(readAt)
	if !w.servers.Learn(snapshot.Revision, snapshot.Digest, readAt, source) {
		return
	}
	w.observeEra(known, snapshot.Revision, source)
	w.servers.snapshot, w.listed, w.listedAt = snapshot, servers, readAt
	w.applyListing(servers, snapshot.Revision, readAt, source)
}

// confirmServers records that the known listing was still the newest at readAt.
func (w *Watcher) confirmServers(edition lavnews.Edition, readAt time.Time, source lavid.HostID) {
	w.servers.applying.Lock()
	defer w.servers.applying.Unlock()
	known := w.servers.Edition(readAt)
	if !w.servers.Confirms(edition.Digest) || !w.servers.Confirm(edition.Revision, readAt, source) {
		return
	}
	w.observeEra(known, edition.Revision, source)
	servers := make([]lavserver.Server, len(w.listed))
	for i, server := range w.listed {
		server.ColdFor = max(server.ColdFor-readAt.Sub(w.listedAt), 0)
		servers[i] = server
	}
	w.applyListing(servers, edition.Revision, readAt, source)
}

// applyListing applies a whole list of servers, unless another host read it before the store came back from a copy: it says nothing about
// what the store holds now.
func (w *Watcher) applyListing(servers []lavserver.Server, read lavrevision.Revision, readAt time.Time, source lavid.HostID) {
	if source != "" && read.Era < w.Era() {
		return
	}
	w.noticeServers(servers, readAt)
	w.logChanges(w.Directory.ApplyListing(servers, readAt), readAt, source)
	w.complete = true
}

// noticeServers calls OnServers with a list that is about to be applied; the caller holds the lock of the servers.
func (w *Watcher) noticeServers(servers []lavserver.Server, readAt time.Time) {
	if w.OnServers != nil {
		w.OnServers(servers, !w.complete, readAt)
	}
}

// logChanges logs what a listing has changed.
func (w *Watcher) logChanges(changes []lavdirectory.Change, readAt time.Time, source lavid.HostID) {
	w.Metrics.observe(PartServers, w.Clock().Sub(readAt), source)
	for _, change := range changes {
		w.Log.WithFields(logrus.Fields{
			lavlog.FieldServer: change.Server.ID,
			"service":          change.Server.Service,
			"release":          change.Server.Release,
			"cold_ms":          change.Server.ColdFor.Milliseconds(),
			"read_by":          source,
			"listing_age_ms":   w.Clock().Sub(readAt).Milliseconds(),
		}).Info("backend server " + change.Kind)
	}
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

// watchOperations keeps the operators' rows up to date. Readers let the store wait for changes; other hosts read the rows when
// what they know is too old.
func (w *Watcher) watchOperations(ctx context.Context) {
	upToDate, after := false, lavrevision.Revision{}
	backoff := w.newBackoff()
	for ctx.Err() == nil {
		rank := w.Rank()
		if rank == lavnews.NotReader {
			upToDate = false
			if w.awaitDue(ctx, w.Settings.Operations, &w.operations) {
				w.readOperations(ctx)
			}
			continue
		}
		if !upToDate || w.operationsExpired() {
			if after, upToDate = w.readOperations(ctx); !upToDate {
				backoff.wait(ctx)
				continue
			}
		}
		wait := w.Settings.Operations.PollWait(rank)
		waitCtx, cancel := context.WithTimeout(ctx, wait+w.Settings.CallTimeout)
		change, err := w.Source.WaitForChange(waitCtx, after, wait)
		cancel()
		if err != nil {
			// A new read of the rows includes any missed changes.
			upToDate = false
			backoff.wait(ctx)
			continue
		}
		backoff.reset()
		unchanged := !change.Changed && !change.Next.Before(after)
		if unchanged {
			w.confirmOperations(lavnews.Edition{Revision: change.Next, Digest: w.operations.digest()}, change.AnsweredAt, "")
		}
		// A lower version means that this is another store, for instance after a change of its address.
		after, upToDate = change.Next, unchanged
	}
}

func (p *knownPart) digest() lavnews.Digest {
	p.applying.Lock()
	defer p.applying.Unlock()
	return p.snapshot.Digest
}

// readOperations applies the operators' rows. It returns their revision and whether the store answered.
func (w *Watcher) readOperations(ctx context.Context) (lavrevision.Revision, bool) {
	readCtx, cancel := context.WithTimeout(ctx, w.Settings.CallTimeout)
	defer cancel()
	began := w.Clock()
	w.operations.Attempted(began)
	snapshot, err := w.Source.ReadOperations(readCtx)
	if err != nil {
		w.Log.WithError(err).Debug("reading the operators' rows failed")
		return lavrevision.Revision{}, false
	}
	return snapshot.Revision, w.applyOperations(snapshot, began, "")
}

// applyOperations applies operators' rows that a host has read, and reports whether they are valid.
func (w *Watcher) applyOperations(snapshot Snapshot, readAt time.Time, source lavid.HostID) bool {
	w.operations.applying.Lock()
	defer w.operations.applying.Unlock()
	operations, err := w.Source.DecodeOperations(snapshot.Data)
	if err != nil {
		w.Log.WithError(err).WithField(lavlog.FieldPeer, source).Warn("operators' rows cannot be decoded; they are not used")
		return false
	}
	known := w.operations.Edition(readAt)
	if !w.operations.Learn(snapshot.Revision, snapshot.Digest, readAt, source) {
		return true
	}
	w.observeEra(known, snapshot.Revision, source)
	now := w.Clock()
	if snapshot.Era > 0 {
		snapshot, operations = w.keepOperations(snapshot, operations, now)
	}
	w.operations.snapshot = snapshot
	if source != "" {
		w.heardPeers()
	}
	w.Metrics.observe(PartOperations, now.Sub(readAt), source)
	w.Current.Confirm(readAt)
	w.putInForce(operations, source, now.Sub(readAt), now)
	return true
}

// putInForce applies what operators have written. The caller holds the lock of the operations.
func (w *Watcher) putInForce(operations Operations, source lavid.HostID, age time.Duration, now time.Time) {
	if w.Current.Update(operations.Table) {
		w.Log.WithFields(logrus.Fields{lavlog.FieldConfig: operations.Table.Number, "read_by": source, "age_ms": age.Milliseconds()}).Info("configuration in force")
	}
	w.setEvacuated(operations.Evacuated)
	w.OnOrders(operations.Orders, now)
}

// confirmOperations records that the known operators' rows were still the newest at readAt.
func (w *Watcher) confirmOperations(edition lavnews.Edition, readAt time.Time, source lavid.HostID) {
	w.operations.applying.Lock()
	defer w.operations.applying.Unlock()
	known := w.operations.Edition(readAt)
	if w.operations.Confirms(edition.Digest) && w.operations.Confirm(edition.Revision, readAt, source) {
		w.observeEra(known, edition.Revision, source)
		if source != "" {
			w.heardPeers()
		}
		w.Metrics.observe(PartOperations, w.Clock().Sub(readAt), source)
		w.Current.Confirm(readAt)
	}
}

func (w *Watcher) setEvacuated(centres []lavid.DataCentreID) {
	if w.Directory.SetEvacuated(centres) {
		w.Log.WithField("data_centres", centres).Info("evacuated data centres changed")
	}
}
