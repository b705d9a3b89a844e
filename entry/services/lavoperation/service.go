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

// Configs gives the newest configuration that this host has seen.
type Configs interface {
	Document() *lavconfig.Document
}

// Submitter writes patches.
type Submitter interface {
	Submit(ctx context.Context, patch lavspread.Patch) (lavspread.Receipt, error)
}

// Hosts gives the known hosts of the system.
type Hosts interface {
	Self() lavmembership.Member
	Dump() []lavmembership.Row
}

// Service carries out what operators ask for.
type Service struct {
	Configs   Configs
	Submitter Submitter
	Rows      lavspread.Rows
	Hosts     Hosts
	Calls     Calls
	// Servers returns what is known of the load of backend servers; nil when this host knows none.
	Servers func() any
	// Evidence returns the evidence on versions; nil when this host keeps none.
	Evidence func() any
}

// Config returns the configuration in force here.
func (s *Service) Config() *lavconfig.Document {
	return s.Configs.Document().WithTables()
}

// ConfigAt returns the configuration of a number.
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

// Fleet is what this host knows of the hosts and backend servers.
type Fleet struct {
	Number  lavid.ConfigNumber
	Self    lavmembership.Member
	Hosts   []lavmembership.Row
	Servers []Server
	// Loads is what was last heard of the load of backend servers.
	Loads any `json:",omitempty"`
}

// Server is a backend server of the configuration and whether it may take work.
type Server struct {
	ID          lavid.BackendServerID
	DataCentre  lavid.DataCentreID
	Service     lavid.ServiceID `json:",omitempty"`
	Versions    []lavid.VersionID
	SideAddress string
	State       lavconfig.ServingState
	// InService also counts the state of the data centre.
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

// Rollouts is the state of each version of each model.
type Rollouts struct {
	Number   lavid.ConfigNumber
	Versions []Rollout
	// Evidence is what was measured of the versions.
	Evidence any `json:",omitempty"`
}

// Rollout is one version and how far it is rolled out.
type Rollout struct {
	Version  lavid.VersionID
	Model    lavid.ModelID
	State    lavconfig.VersionState
	MaxShare lavid.Share
	Replaces lavid.VersionID `json:",omitempty"`
}

// Rollouts returns the versions of each model.
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

// CallsInDoubt returns a page of calls without outcome.
func (s *Service) CallsInDoubt(ctx context.Context, after string, limit int) (CallPage, error) {
	return s.Calls.ListInDoubt(ctx, after, limit)
}

// Settle ends the doubt about a call.
func (s *Service) Settle(ctx context.Context, settlement Settlement, now time.Time) (Settled, error) {
	if err := settlement.check(); err != nil {
		return Settled{}, err
	}
	return s.Calls.Settle(ctx, settlement, now)
}
