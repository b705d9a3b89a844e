package lavserver

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
)

// Server is one running instance of a backend server, as last listed.
type Server struct {
	ID         lavid.BackendServerID
	Service    lavid.ServiceID
	Address    string
	DataCentre lavid.DataCentreID
	// Release is the software version that the server runs.
	Release lavid.ReleaseID
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// Draining servers take no new requests.
	Draining bool
	// ColdFor is how long the server stays cold, counted from the time of the listing.
	ColdFor time.Duration
	// Born is the start time of the instance, or zero if it is not stated. A server with the same ID and another start time
	// is a new instance.
	Born time.Time
}

// SameInstance reports whether both are the same instance: the same ID, address and start time.
func (s Server) SameInstance(other Server) bool {
	return s.ID == other.ID && s.Address == other.Address && s.Born.Equal(other.Born)
}

// InstanceKey identifies an instance of a backend server in reports between hosts. It is a hash of what SameInstance compares.
type InstanceKey uint64

// Instance returns the key of the instance.
func (s Server) Instance() InstanceKey {
	born := ""
	if !s.Born.IsZero() {
		born = strconv.FormatInt(s.Born.UnixNano(), 10)
	}
	return InstanceKey(xxhash.Sum64String(string(s.ID) + "\x00" + s.Address + "\x00" + born))
}
