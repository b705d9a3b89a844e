package lavspread

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavmembership"
	"lavenderswitch/wire/lavwire"
)

// errDigestMismatch reports that patches gave another document here than at the sender, or did not apply.
var errDigestMismatch = errors.New("patches give a document that differs from the sender's; request the whole document")

// Replica is one host's copy of the configuration, with the recent patches that it sends to hosts with a lower number.
type Replica struct {
	Self     lavmembership.Member
	Current  *Current
	patchLog patchLog
	// applyMu is held while a message is applied, so that a concurrent duplicate finds its number adopted and is
	// not decoded.
	applyMu sync.Mutex
}

// NewReplica returns the replica of the host self, around the configuration in current.
func NewReplica(self lavmembership.Member, current *Current) *Replica {
	return &Replica{Self: self, Current: current}
}

// StatusMessage returns a message with this host's identity and configuration number only.
func (r *Replica) StatusMessage(leaving bool) *lavwire.ConfigExchange {
	return &lavwire.ConfigExchange{
		SenderId:      string(r.Self.ID),
		SenderAddress: r.Self.Address,
		DataCentreId:  string(r.Self.DataCentre),
		Role:          string(r.Self.Role),
		Leaving:       leaving,
		Number:        uint64(r.Current.Number()),
	}
}

// Answer applies the configuration in a request and returns the reply: this host's confirmations at now and, unless the
// request is a push, the configuration that the sender lacks.
func (r *Replica) Answer(request *lavwire.ConfigExchange, leaving bool, now time.Time) (*lavwire.ConfigExchange, error) {
	applyErr := r.Apply(request, now)
	reply := r.StatusMessage(leaving)
	reply.WantDocument = errors.Is(applyErr, errDigestMismatch)
	r.addFreshness(reply, now)
	if request.GetPush() {
		return reply, nil
	}
	return reply, r.AddUpdates(reply, request)
}

// addFreshness adds the valid confirmations of this host to a reply. This host confirms its own number for its own data
// centre at now.
func (r *Replica) addFreshness(reply *lavwire.ConfigExchange, now time.Time) {
	freshness := r.Current.Freshness()
	reply.Number = uint64(freshness.Number)
	if age := elapsed(freshness.StoreConfirmed, now); age <= StoreConfirmationTTL {
		millis := roundUp(age)
		reply.ConfirmedAgeMillis = &millis
	}
	freshness.PeerConfirmed[r.Self.DataCentre] = now
	for id, confirmed := range freshness.PeerConfirmed {
		if age := elapsed(confirmed, now); age <= PeerConfirmationTTL {
			reply.Vouches = append(reply.Vouches, &lavwire.ConfigVouch{DataCentreId: string(id), AgeMillis: roundUp(age)})
		}
	}
}

// roundUp returns the age in milliseconds, rounded up so that a confirmation never appears newer than it is.
func roundUp(age time.Duration) int64 {
	return int64((age + time.Millisecond - 1) / time.Millisecond)
}

// AddUpdates adds the patches that the receiver lacks to a message, or the whole document when the patches are not kept
// or the receiver asks for the document. The receiver is given by the last message from it.
func (r *Replica) AddUpdates(message, receiver *lavwire.ConfigExchange) error {
	document := r.Current.Document()
	receiverNumber := lavid.ConfigNumber(receiver.GetNumber())
	if document == nil || receiverNumber >= document.Number {
		return nil
	}
	if receiverNumber > 0 && !receiver.GetWantDocument() {
		message.Patches = r.patchLog.between(receiverNumber, document.Number)
	}
	if len(message.Patches) > 0 {
		return nil
	}
	var err error
	message.Document, err = r.patchLog.compressedDocument(document)
	return err
}

// Apply adopts the document or the patches of a message whose number is above the current one; it returns
// errDigestMismatch when the patches do not give the sender's document.
func (r *Replica) Apply(message *lavwire.ConfigExchange, now time.Time) error {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	if lavid.ConfigNumber(message.GetNumber()) <= r.Current.Number() {
		return nil
	}
	if len(message.GetDocument()) > 0 {
		document, err := decompress(message.GetDocument())
		if err != nil {
			return err
		}
		r.Current.Adopt(document, now)
		return nil
	}
	for _, patch := range message.GetPatches() {
		if err := r.applyPatch(patch, now); err != nil {
			return err
		}
	}
	return nil
}

// applyPatch adopts the document that a patch gives; a patch that does not follow the current number is skipped.
func (r *Replica) applyPatch(patch *lavwire.ConfigPatch, now time.Time) error {
	base := r.Current.Document()
	number := lavid.ConfigNumber(patch.GetNumber())
	if base == nil || number != base.Number+1 {
		return nil
	}
	document, err := Rebuild(base, Patch{Base: base.Number, Operations: json.RawMessage(patch.GetPatch())})
	if err != nil {
		return errDigestMismatch
	}
	sum, err := digest(document)
	if err != nil {
		return err
	}
	if sum != patch.GetDigest() {
		return errDigestMismatch
	}
	if r.Current.Adopt(document, now) {
		r.patchLog.append(patch)
	}
	return nil
}

// AdoptAccepted adopts the configuration of a store row and keeps its patch for peers.
func (r *Replica) AdoptAccepted(accepted Accepted, now time.Time) error {
	document := accepted.Document.WithTables()
	sum, err := digest(document)
	if err != nil {
		return err
	}
	if r.Current.Adopt(document, now) {
		r.patchLog.append(&lavwire.ConfigPatch{Number: uint64(document.Number), Patch: accepted.Patch, Digest: sum})
	}
	return nil
}

// MergeReply merges the confirmations of a reply and reports whether it did. Their ages are subtracted from the time
// when the request was sent, so that a slow reply does not make them appear newer.
func (r *Replica) MergeReply(reply *lavwire.ConfigExchange, sent time.Time) bool {
	freshness := Freshness{Number: lavid.ConfigNumber(reply.GetNumber()), PeerConfirmed: make(map[lavid.DataCentreID]time.Time)}
	if reply.ConfirmedAgeMillis != nil {
		freshness.StoreConfirmed = sent.Add(-time.Duration(reply.GetConfirmedAgeMillis()) * time.Millisecond)
	}
	for _, confirmation := range reply.GetVouches() {
		freshness.PeerConfirmed[lavid.DataCentreID(confirmation.GetDataCentreId())] = sent.Add(-time.Duration(confirmation.GetAgeMillis()) * time.Millisecond)
	}
	return r.Current.MergeFreshness(freshness)
}

// Sender returns the host that sent a message.
func Sender(message *lavwire.ConfigExchange) lavmembership.Member {
	return lavmembership.Member{
		ID:         lavid.HostID(message.GetSenderId()),
		Role:       lavplatform.HostRole(message.GetRole()),
		Address:    message.GetSenderAddress(),
		DataCentre: lavid.DataCentreID(message.GetDataCentreId()),
		Leaving:    message.GetLeaving(),
	}
}

// isAheadOf reports whether this host's number is above the number of a peer.
func (r *Replica) isAheadOf(peer *lavwire.ConfigExchange) bool {
	return lavid.ConfigNumber(peer.GetNumber()) < r.Current.Number()
}
