package lavwatch

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/entry/services/lavbroadcast"
)

const (
	// secondRead follows the first after the time in which all hosts of a fleet start.
	secondRead = 3 * time.Second
	// hostRead is the interval of later reads; new hosts make themselves heard before.
	hostRead = 30 * time.Second
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
	for ctx.Err() == nil && !r.call(ctx, r.put) {
		lavlife.Sleep(ctx, time.Second)
	}
	pause := secondRead
	for ctx.Err() == nil {
		if !r.call(ctx, r.list) {
			lavlife.Sleep(ctx, time.Second)
			continue
		}
		lavlife.Sleep(ctx, pause)
		pause = hostRead
	}
}

// Deregister takes this host off the list.
func (r *Registrar) Deregister(ctx context.Context) {
	r.call(ctx, func(ctx context.Context) error { return r.Store.DropHost(ctx, r.Peers.Self().ID) })
}

func (r *Registrar) put(ctx context.Context) error {
	return r.Store.PutHost(ctx, r.Peers.Self())
}

func (r *Registrar) list(ctx context.Context) error {
	members, err := r.Store.Hosts(ctx)
	if err == nil {
		r.Peers.AddListed(members, r.Clock())
	}
	return err
}

func (r *Registrar) call(ctx context.Context, call func(context.Context) error) bool {
	calling, cancel := context.WithTimeout(ctx, r.CallTimeout)
	defer cancel()
	if err := call(calling); err != nil {
		r.Log.WithError(err).Debug("list of entry hosts is out of reach")
		return false
	}
	return true
}
