package lavpin

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavlog"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavsession"
	"lavenderswitch/wire/lavwire"
)

// ownerTimeout bounds one call to an owner of a session.
const ownerTimeout = 400 * time.Millisecond

// Members lists the live entry hosts, including this one unless it is leaving.
type Members interface {
	Entries(now time.Time) []lavring.Member
}

// Resolver asks the owners of a session for its version.
type Resolver struct {
	Host    lavid.HostID
	Members Members
	Local   lavwire.Sessions
	HTTP    *http.Client
	// Scheme precedes the address of a peer, such as "http://".
	Scheme string
	Log    *logrus.Logger
}

// Query asks for the version of a session. Proposed is used when the session has no pin yet, or when its version is the
// one to be replaced. A provisional pin stays in memory until the session's second turn.
type Query struct {
	Key         lavsession.Key
	Proposed    lavid.VersionID
	Replaces    lavid.VersionID
	Provisional bool
}

// Resolve returns the version of a session and whether the session moved to it from another version. The first owner
// that answers decides. When no owner answers, this host decides.
func (r *Resolver) Resolve(ctx context.Context, query Query) (lavid.VersionID, bool) {
	request := &lavwire.PinRequest{
		AccountId:         string(query.Key.Account),
		SessionId:         string(query.Key.Session),
		ModelId:           query.Key.Model,
		ProposedVersionId: string(query.Proposed),
		ReplacesVersionId: string(query.Replaces),
		Provisional:       query.Provisional,
	}
	for _, owner := range lavring.Owners(r.Members.Entries(time.Now()), query.Key.String()) {
		ownerCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
		response, err := r.clientFor(owner).Pin(ownerCtx, request)
		cancel()
		if err == nil {
			return lavid.VersionID(response.GetVersionId()), response.GetMoved()
		}
		r.Log.WithError(err).WithField(lavlog.FieldPeer, owner.ID).Warning("session owner did not answer; asking the next one")
	}
	response, err := r.Local.Pin(ctx, request)
	if err != nil {
		return query.Proposed, false
	}
	return lavid.VersionID(response.GetVersionId()), response.GetMoved()
}

// Replicate sends a pin to the other owner of a session. If the copy is lost, that owner reads the pin from the table
// service later.
func (r *Resolver) Replicate(ctx context.Context, key lavsession.Key, version lavid.VersionID) {
	request := &lavwire.PinRequest{
		AccountId:         string(key.Account),
		SessionId:         string(key.Session),
		ModelId:           key.Model,
		ProposedVersionId: string(version),
		Replica:           true,
	}
	for _, owner := range lavring.Owners(r.Members.Entries(time.Now()), key.String()) {
		if owner.ID == r.Host {
			continue
		}
		ownerCtx, cancel := context.WithTimeout(ctx, ownerTimeout)
		_, err := r.clientFor(owner).Pin(ownerCtx, request)
		cancel()
		if err != nil {
			r.Log.WithError(err).WithField(lavlog.FieldPeer, owner.ID).Warning("second session owner did not answer; it reads the pin from the store later")
		}
	}
}

func (r *Resolver) clientFor(owner lavring.Member) lavwire.Sessions {
	if owner.ID == r.Host {
		return r.Local
	}
	return lavwire.NewSessionsProtobufClient(r.Scheme+owner.Address, r.HTTP)
}
