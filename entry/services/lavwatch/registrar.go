package lavwatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/entry/services/lavbroadcast"
)

const (
	// secondReadDelay follows the first after the time in which all hosts of a fleet start.
	secondReadDelay = 3 * time.Second
	// hostReadInterval is the interval of later reads; new hosts make themselves heard before.
	hostReadInterval = 30 * time.Second
)

// Registrar lists this host in the store and learns of the others until its context ends.
type Registrar struct {
	lavlife.Part
	Peers *lavbroadcast.Peers
	Store HostStore
	// CallTimeout bounds one call of the store.
	CallTimeout time.Duration
	Log         logrus.FieldLogger
	Clock       func() time.Time
}

// Run registers and reads until ctx ends.
func (r *Registrar) Run(ctx context.Context) {
	defer r.Finish()
	for ctx.Err() == nil && !r.callStore(ctx, r.register) {
		lavlife.Sleep(ctx, time.Second)
	}
	pause := secondReadDelay
	for ctx.Err() == nil {
		if !r.callStore(ctx, r.readHosts) {
			lavlife.Sleep(ctx, time.Second)
			continue
		}
		lavlife.Sleep(ctx, pause)
		pause = hostReadInterval
	}
}

// Deregister takes this host off the list.
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

func (r *Registrar) callStore(ctx context.Context, call func(context.Context) error) bool {
	callCtx, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	if err := call(callCtx); err != nil {
		r.Log.WithError(err).Debug("list of entry hosts is out of reach")
		return false
	}
	return true
}
