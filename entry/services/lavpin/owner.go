package lavpin

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavsession"
	"lavenderswitch/wire/lavwire"
)

const (
	// storeTimeout bounds the read of a pin from the table service, and separately its write.
	storeTimeout = 150 * time.Millisecond
	// maxPending bounds the pins that wait to be written. Further ones are kept in memory only.
	maxPending = 50_000
	// minWriteInterval separates two writes of a host when the system has few hosts.
	minWriteInterval = 500 * time.Millisecond
	// writeBatch is the maximum number of pins in one write.
	writeBatch = 200
	// flushRetryPause separates a failed write from the next one while the host shuts down.
	flushRetryPause = 100 * time.Millisecond
)

// Rows is the part of the table service that stores session pins.
type Rows interface {
	Get(ctx context.Context, table, key string) (lavplatform.Row, error)
	Insert(ctx context.Context, insert lavplatform.Insert) (lavplatform.WriteResult, error)
	InsertAll(ctx context.Context, inserts []lavplatform.Insert) ([]lavplatform.WriteResult, error)
	Swap(ctx context.Context, swap lavplatform.Swap) (lavplatform.WriteResult, error)
}

// Replicator copies a pin to the other owner of its session.
type Replicator interface {
	Replicate(ctx context.Context, key lavsession.Key, version lavid.VersionID)
}

// Hosts counts the hosts of the system.
type Hosts interface {
	Count() int
}

// Owner holds the pins of the sessions that this host owns. It implements lavwire.Sessions.
type Owner struct {
	lavlife.DoneSignal
	OwnerOptions
	Replicator Replicator

	// writing holds a value while a batch of pending pins is written.
	writing chan struct{}

	mu sync.Mutex
	// pending holds the pins that wait to be written, oldest first.
	pending []pendingPin
}

// pendingPin is a pin that waits to be written. The copy is written if the table has evicted the session meanwhile.
type pendingPin struct {
	key lavsession.Key
	pin lavsession.Pin
}

// OwnerOptions holds the components that an Owner uses.
type OwnerOptions struct {
	Host  lavid.HostID
	Pins  *lavsession.Table
	Rows  Rows
	Hosts Hosts
	Log   *logrus.Logger
}

// NewOwner returns an owner without pending pins; its Replicator must be set before the first request.
func NewOwner(options OwnerOptions) *Owner {
	return &Owner{OwnerOptions: options, writing: make(chan struct{}, 1)}
}

// storedPin is the JSON value of a session's row.
type storedPin struct {
	Version lavid.VersionID
	Moves   int
}

// Pin returns the version of a session. A session without a pin is pinned to the proposed version. A replica request
// only stores the pin that the other owner has decided.
func (o *Owner) Pin(ctx context.Context, request *lavwire.PinRequest) (*lavwire.PinResponse, error) {
	proposal := lavsession.Proposal{
		Key: lavsession.Key{
			Account: lavid.AccountID(request.GetAccountId()),
			Session: lavid.SessionID(request.GetSessionId()),
			Model:   request.GetModelId(),
		},
		Proposed: lavid.VersionID(request.GetProposedVersionId()),
		Replaces: lavid.VersionID(request.GetReplacesVersionId()),
	}
	if request.GetReplica() {
		o.Pins.Store(proposal.Key, lavsession.Pin{Version: proposal.Proposed, Used: time.Now()})
		return &lavwire.PinResponse{VersionId: request.GetProposedVersionId()}, nil
	}
	pin := o.decide(ctx, proposal, request.GetProvisional(), time.Now())
	return &lavwire.PinResponse{VersionId: string(pin.Version), Moved: pin.Moves > 0 && pin.Version == proposal.Proposed && proposal.Replaces != ""}, nil
}

// decide returns the pin of a session. A provisional pin stays in memory until the session's second turn.
func (o *Owner) decide(ctx context.Context, proposal lavsession.Proposal, provisional bool, now time.Time) lavsession.Pin {
	var stored lavsession.Pin
	var inStore bool
	if _, exists := o.Pins.Get(proposal.Key); !exists && !provisional {
		stored, inStore = o.readStored(ctx, proposal.Key)
	}
	pin, changed := o.pinInMemory(proposal, stored, inStore, now)
	if pin.Version == "" {
		return pin
	}
	if !provisional && !pin.Stored {
		pin = o.writeStored(ctx, proposal, pin)
		o.Pins.Store(proposal.Key, pin)
	}
	if changed {
		o.Replicator.Replicate(ctx, proposal.Key, pin.Version)
	}
	return pin
}

// pinInMemory decides on the pin and holds it in memory before it is written. Concurrent requests therefore get the
// same version while the table service is down, too.
func (o *Owner) pinInMemory(proposal lavsession.Proposal, stored lavsession.Pin, inStore bool, now time.Time) (lavsession.Pin, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	current, exists := o.Pins.Get(proposal.Key)
	if !exists {
		current, exists = stored, inStore
	}
	if !exists && proposal.Proposed == "" {
		return lavsession.Pin{}, false
	}
	pin, changed := lavsession.Decide(current, exists, proposal, now)
	o.Pins.Store(proposal.Key, pin)
	return pin, changed
}

func (o *Owner) readStored(ctx context.Context, key lavsession.Key) (lavsession.Pin, bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	row, err := o.Rows.Get(ctx, lavsession.SessionTable, key.String())
	if err != nil {
		return lavsession.Pin{}, false
	}
	pin, err := decodePin(row)
	if err != nil {
		o.Log.WithError(err).Warning("session row cannot be decoded; pinning the session again")
		return lavsession.Pin{}, false
	}
	return pin, true
}

// writeStored writes a pin and returns the resulting pin. An earlier row of another owner wins, unless its version is
// the one to be replaced.
func (o *Owner) writeStored(ctx context.Context, proposal lavsession.Proposal, pin lavsession.Pin) lavsession.Pin {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	insert := o.newInsert(proposal.Key, pin)
	written, err := o.Rows.Insert(ctx, insert)
	if err != nil {
		o.queueWrite(proposal.Key, pin)
		return pin
	}
	if written.Won {
		pin.Stored = true
		return pin
	}
	stored, err := decodePin(written.Row)
	if err != nil {
		return pin
	}
	if proposal.Replaces == "" || stored.Version != proposal.Replaces {
		return stored
	}
	swap := lavplatform.Swap{Insert: insert, Revision: written.Row.Revision}
	if swapped, err := o.Rows.Swap(ctx, swap); err == nil {
		if winner, err := decodePin(swapped.Row); err == nil {
			return winner
		}
	}
	o.queueWrite(proposal.Key, pin)
	return pin
}

func (o *Owner) newInsert(key lavsession.Key, pin lavsession.Pin) lavplatform.Insert {
	value, err := json.Marshal(storedPin{Version: pin.Version, Moves: pin.Moves})
	if err != nil {
		panic(err)
	}
	return lavplatform.Insert{Table: lavsession.SessionTable, Key: key.String(), Writer: string(o.Host) + "/" + string(pin.Version), Value: value}
}

func decodePin(row lavplatform.Row) (lavsession.Pin, error) {
	var stored storedPin
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return lavsession.Pin{}, errors.Wrapf(err, "decode session row %s", row.Key)
	}
	return lavsession.Pin{Version: stored.Version, Moves: stored.Moves, Stored: true}, nil
}

func (o *Owner) queueWrite(key lavsession.Key, pin lavsession.Pin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.pending) < maxPending {
		o.pending = append(o.pending, pendingPin{key, pin})
	}
}

// Run writes pending pins until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	defer o.Finish()
	for lavlife.Pause(ctx, lavlife.SharedInterval(minWriteInterval, o.Hosts.Count())) {
		if err := o.WriteBehind(ctx); err != nil {
			o.Log.WithError(err).WithField("pending", o.pendingCount()).Warning("writing session pins failed; trying again at the next interval")
		}
	}
}

// Flush writes all pending pins, in as many batches as needed, and repeats failed writes until ctx ends. It logs how many
// pins stay unwritten.
func (o *Owner) Flush(ctx context.Context) {
	var err error
	for o.pendingCount() > 0 && ctx.Err() == nil {
		if err = o.WriteBehind(ctx); err != nil {
			lavlife.Sleep(ctx, flushRetryPause)
		}
	}
	if count := o.pendingCount(); count > 0 {
		o.Log.WithError(err).WithField("pending", count).Error("session pins were not written before the end of the shutdown; their sessions may change versions")
	}
}

// WriteBehind writes one batch of pending pins. It waits for a batch that is being written. If another owner wrote the row
// of a session first, that row's pin replaces the one in memory. After an error the batch stays pending.
func (o *Owner) WriteBehind(ctx context.Context) error {
	select {
	case o.writing <- struct{}{}:
		defer func() { <-o.writing }()
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the previous batch of session pins")
	}
	batch := o.nextBatch()
	if len(batch) == 0 {
		return nil
	}
	inserts := make([]lavplatform.Insert, 0, len(batch))
	for _, pending := range batch {
		inserts = append(inserts, o.newInsert(pending.key, pending.pin))
	}
	written, err := o.Rows.InsertAll(ctx, inserts)
	if err != nil {
		return errors.Wrapf(err, "write %d session pins", len(batch))
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending = o.pending[len(batch):]
	for i, result := range written {
		o.adoptStored(batch[i], result.Row)
	}
	return nil
}

// nextBatch returns the oldest pending pins in their current state. They stay pending.
func (o *Owner) nextBatch() []pendingPin {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := slices.Clone(o.pending[:min(writeBatch, len(o.pending))])
	for i, pending := range batch {
		if current, exists := o.Pins.Get(pending.key); exists {
			batch[i].pin = current
		}
	}
	return batch
}

// adoptStored replaces a pin by the one in its row, unless the session was moved while its pin was written. The caller
// holds the mutex.
func (o *Owner) adoptStored(pending pendingPin, row lavplatform.Row) {
	stored, err := decodePin(row)
	if err != nil {
		o.Log.WithError(err).Warning("session row cannot be decoded; keeping the pin in memory")
		return
	}
	if current, exists := o.Pins.Get(pending.key); !exists || current.Version == pending.pin.Version {
		o.Pins.Store(pending.key, stored)
	}
}

func (o *Owner) pendingCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending)
}
