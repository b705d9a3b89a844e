package lavoperation

import (
	"context"
	"fmt"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavmembership"
	"lavenderswitch/core/services/lavspread"
)

// Configs returns the newest configuration that this host has received, or nil before the first one.
type Configs interface {
	Document() *lavconfig.Document
}

// Submitter writes patches.
type Submitter interface {
	Submit(ctx context.Context, patch lavspread.Patch) (lavspread.Receipt, error)
}

// Hosts lists the hosts that this host has on record, and this host itself.
type Hosts interface {
	Self() lavmembership.Member
	Dump() []lavmembership.Row
}

// Service executes the requests of operators.
type Service struct {
	Configs   Configs
	Submitter Submitter
	Rows      lavspread.Rows
	Hosts     Hosts
	Calls     Calls
	// Servers returns the load of backend servers for Fleet.Loads; it may be nil.
	Servers func() any
	// Evidence returns the evidence on versions for Rollouts.Evidence; it may be nil.
	Evidence func() any
}

// Config returns the newest configuration that this host has received, or the empty configuration with number zero
// before the first one.
func (s *Service) Config() *lavconfig.Document {
	return s.Configs.Document().WithTables()
}

// ConfigAt returns the configuration with a number. Number zero is the empty configuration.
func (s *Service) ConfigAt(ctx context.Context, number lavid.ConfigNumber) (*lavconfig.Document, error) {
	if number == 0 || number == s.Config().Number {
		return s.emptyOrCurrent(number), nil
	}
	accepted, err := lavspread.ReadAccepted(ctx, s.Rows, number)
	if lavplatform.IsErrRowNotExist(err) {
		message := fmt.Sprintf("there is no configuration %d", number)
		return nil, laverror.New(laverror.KindNotFound, message, "GET /config/history lists the numbers")
	}
	if err != nil {
		return nil, err
	}
	return accepted.Document.WithTables(), nil
}

func (s *Service) emptyOrCurrent(number lavid.ConfigNumber) *lavconfig.Document {
	if number == 0 {
		return (*lavconfig.Document)(nil).WithTables()
	}
	return s.Config()
}

// Fleet lists the hosts that this host has on record and the backend servers of the configuration.
type Fleet struct {
	Number  lavid.ConfigNumber
	Self    lavmembership.Member
	Hosts   []lavmembership.Row
	Servers []Server
	// Loads is the last reported load of the backend servers.
	Loads any `json:",omitempty"`
}

// Server is a backend server of the configuration.
type Server struct {
	ID          lavid.BackendServerID
	DataCentre  lavid.DataCentreID
	Service     lavid.ServiceID `json:",omitempty"`
	Versions    []lavid.VersionID
	SideAddress string
	State       lavconfig.ServingState
	// InService reports whether both the server and its data centre are in service.
	InService bool
}

// Fleet returns the hosts and backend servers.
func (s *Service) Fleet() Fleet {
	document := s.Config()
	fleet := Fleet{Number: document.Number, Self: s.Hosts.Self(), Hosts: s.Hosts.Dump(), Servers: []Server{}}
	for _, id := range sortedIDs(document.BackendServers) {
		row := document.BackendServers[id]
		fleet.Servers = append(fleet.Servers, Server{
			ID:          id,
			DataCentre:  row.DataCentre,
			Service:     row.Service,
			Versions:    row.Versions,
			SideAddress: row.SideAddress,
			State:       row.State,
			InService:   row.State == lavconfig.InService && document.DataCentres[row.DataCentre].State == lavconfig.InService,
		})
	}
	if s.Servers != nil {
		fleet.Loads = s.Servers()
	}
	return fleet
}

// Rollouts lists the versions of all models.
type Rollouts struct {
	Number   lavid.ConfigNumber
	Versions []Rollout
	// Evidence is the measured quality of the versions.
	Evidence any `json:",omitempty"`
}

// Rollout is the roll-out state of one version.
type Rollout struct {
	Version  lavid.VersionID
	Model    lavid.ModelID
	State    lavconfig.VersionState
	MaxShare lavid.Share
	Replaces lavid.VersionID `json:",omitempty"`
}

// Rollouts returns the versions of all models, in order of their ids.
func (s *Service) Rollouts() Rollouts {
	document := s.Config()
	rollouts := Rollouts{Number: document.Number, Versions: []Rollout{}}
	for _, id := range sortedIDs(document.Versions) {
		row := document.Versions[id]
		rollouts.Versions = append(rollouts.Versions, Rollout{
			Version: id, Model: row.Model, State: row.State, MaxShare: row.MaxShare, Replaces: row.Replaces,
		})
	}
	if s.Evidence != nil {
		rollouts.Evidence = s.Evidence()
	}
	return rollouts
}

// CallsInDoubt returns a page of the calls whose outcome is unknown.
func (s *Service) CallsInDoubt(ctx context.Context, after string, limit int) (CallPage, error) {
	return s.Calls.ListInDoubt(ctx, after, limit)
}

// Settle records an operator's decision on a call in doubt.
func (s *Service) Settle(ctx context.Context, settlement Settlement, now time.Time) (Settled, error) {
	if err := settlement.check(); err != nil {
		return Settled{}, err
	}
	return s.Calls.Settle(ctx, settlement, now)
}
