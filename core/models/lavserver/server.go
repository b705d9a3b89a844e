package lavserver

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// Server is one start of a backend server as it was last listed.
type Server struct {
	ID         lavid.BackendServerID
	Service    lavid.ServiceID
	Address    string
	DataCentre lavid.DataCentreID
	// Release is the version of the software that it runs.
	Release lavid.ReleaseID
	// Slots is the number of requests that it works on at once.
	Slots int
	// Draining servers take no new work.
	Draining bool
	// ColdFor is how long the server stays cold, counted from the listing.
	ColdFor time.Duration
	// Born is when it started; another Born under the same ID is another server.
	Born time.Time
}

// SameInstance tells whether both are the same start of the same server.
func (s Server) SameInstance(other Server) bool {
	return s.ID == other.ID && s.Address == other.Address && s.Born.Equal(other.Born)
}
