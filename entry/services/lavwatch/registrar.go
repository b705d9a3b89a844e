package lavwatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
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
	// storeRetryPause separates two tries while the store does not answer.
	storeRetryPause = time.Second
)

// HostStore keeps the list of entry hosts.
type HostStore interface {
	Hosts(ctx context.Context) ([]lavring.Member, error)
	PutHost(ctx context.Context, member lavring.Member) error
	DropHost(ctx context.Context, id lavid.HostID) error
}

// Registrar registers this host in the store and reads the list of the other entry hosts until its context ends.
type Registrar struct {
	lavlife.DoneSignal
	Peers *lavreport.Peers
	Store HostStore
	// Reads reports whether this host reads the list repeatedly. Others hear of new hosts from it.
	Reads func() bool
	// CallTimeout bounds one call to the store.
	CallTimeout time.Duration
	Log         logrus.FieldLogger
	Clock       func() time.Time
}

// Run registers this host, then reads the host list repeatedly until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	defer r.Finish()
	for ctx.Err() == nil && !r.callStore(ctx, r.register) {
		lavlife.Sleep(ctx, storeRetryPause)
	}
	pause := secondReadDelay
	for ctx.Err() == nil {
		if first := pause == secondReadDelay; (first || r.Reads()) && !r.callStore(ctx, r.readHosts) {
			lavlife.Sleep(ctx, storeRetryPause)
			continue
		}
		lavlife.Sleep(ctx, pause)
		pause = hostReadInterval
	}
}

// Deregister removes this host from the list.
func (r *Registrar) Deregister(ctx context.Context) {
	r.callStore(ctx, func(ctx context.Context) error { return r.Store.DropHost(ctx, r.Peers.Self().ID) })
}

func (r *Registrar) register(ctx context.Context) error {
	return r.Store.PutHost(ctx, r.Peers.Self())
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
