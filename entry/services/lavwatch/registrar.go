package lavwatch

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavreport"
)

const (
	// secondReadDelay separates the first read of the host list from the second. All hosts of a fleet that start together
	// have registered by then.
	secondReadDelay = 3 * time.Second
	// hostReadInterval separates later reads. The datagrams of new hosts usually arrive earlier.
	hostReadInterval = 30 * time.Second
	// eraCheckInterval is how often the registrar looks whether the store came back from a copy.
	eraCheckInterval = 500 * time.Millisecond
	// maxRestorers is the number of hosts that look one after the other whether the host list has to be written again.
	maxRestorers = 3
	// storeRetryPause separates two tries while the store does not answer.
	storeRetryPause = time.Second
)

// HostStore keeps the list of entry hosts.
type HostStore interface {
	Hosts(ctx context.Context) ([]lavring.Member, error)
	PutHosts(ctx context.Context, members []lavring.Member) error
	DropHost(ctx context.Context, id lavid.HostID) error
}

// Registrar registers this host in the store and reads the list of the other entry hosts until its context ends.
type Registrar struct {
	lavlife.DoneSignal
	Peers *lavreport.Peers
	Store HostStore
	// Reads reports whether this host reads the list repeatedly. Others hear of new hosts from it.
	Reads func() bool
	// Era returns the era of the store. After a rise, the list may lack hosts.
	Era func() lavrevision.Era
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration
	Log         logrus.FieldLogger
	Clock       func() time.Time

	// restoredEra is the era in which the list was last known to hold the live hosts, and returnedAt when a later one was noticed; zero
	// if none was.
	restoredEra lavrevision.Era
	returnedAt  time.Time
}

// Run registers this host, then reads the host list repeatedly until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	defer r.Finish()
	for ctx.Err() == nil && !r.callStore(ctx, r.register) {
		lavlife.Sleep(ctx, storeRetryPause)
	}
	r.restoredEra = r.Era()
	pause := secondReadDelay
	for ctx.Err() == nil {
		if first := pause == secondReadDelay; (first || r.Reads()) && !r.callStore(ctx, r.readHosts) {
			lavlife.Sleep(ctx, storeRetryPause)
			continue
		}
		r.await(ctx, r.Clock().Add(pause))
		pause = hostReadInterval
	}
}

// await returns at the given time. It writes the list again if the store comes back from a copy meanwhile.
func (r *Registrar) await(ctx context.Context, until time.Time) {
	for ctx.Err() == nil {
		now := r.Clock()
		left := until.Sub(now)
		if left <= 0 {
			return
		}
		r.restoreIfDue(ctx, now)
		lavlife.Sleep(ctx, min(left, eraCheckInterval))
	}
}

// restoreIfDue writes the list again once it is this host's turn after the store came back from a copy. The first hosts look one after the
// other; the others leave it to them.
func (r *Registrar) restoreIfDue(ctx context.Context, now time.Time) {
	era := r.Era()
	if era == r.restoredEra {
		return
	}
	if r.returnedAt.IsZero() {
		r.returnedAt = now
	}
	rank := r.Peers.Rank("hosts", now)
	if rank < maxRestorers && (now.Sub(r.returnedAt) < time.Duration(rank+1)*eraCheckInterval || !r.callStore(ctx, r.restore)) {
		return
	}
	r.restoredEra, r.returnedAt = era, time.Time{}
}

// restore registers the live hosts that the list lacks.
func (r *Registrar) restore(ctx context.Context) error {
	stored, err := r.Store.Hosts(ctx)
	if err != nil {
		return err
	}
	listed := make(map[lavid.HostID]bool, len(stored))
	for _, member := range stored {
		listed[member.ID] = true
	}
	missing := slices.DeleteFunc(r.Peers.Live(r.Clock()), func(member lavring.Member) bool { return listed[member.ID] })
	if len(missing) == 0 {
		return nil
	}
	if err := r.Store.PutHosts(ctx, missing); err != nil {
		return err
	}
	r.Log.WithField("count", len(missing)).Info("entry hosts that the store lacked registered again")
	return nil
}

// Deregister removes this host from the list.
func (r *Registrar) Deregister(ctx context.Context) {
	r.callStore(ctx, func(ctx context.Context) error { return r.Store.DropHost(ctx, r.Peers.Self().ID) })
}

func (r *Registrar) register(ctx context.Context) error {
	return r.Store.PutHosts(ctx, []lavring.Member{r.Peers.Self()})
}

func (r *Registrar) readHosts(ctx context.Context) error {
	members, err := r.Store.Hosts(ctx)
	if err == nil {
		r.Peers.AddListed(members, r.Clock())
	}
	return err
}

// callStore makes one call to the store and reports whether it succeeded.
func (r *Registrar) callStore(ctx context.Context, call func(context.Context) error) bool {
	callCtx, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	if err := call(callCtx); err != nil {
		r.Log.WithError(err).Debug("access to the list of entry hosts failed")
		return false
	}
	return true
}
