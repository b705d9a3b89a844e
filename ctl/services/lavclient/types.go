package lavclient

import (
	"encoding/json"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavsettings"
)

// Receipt is the answer to an accepted patch.
type Receipt struct {
	Number  lavid.ConfigNumber
	Patch   lavid.PatchID
	Reached []lavid.DataCentreID
	InForce bool
}

// Preview is the answer to a dry run.
type Preview struct {
	Number   lavid.ConfigNumber
	Faults   lavsettings.Faults
	Warnings lavsettings.Faults
	Changes  []Change
}

// Change is one value that differs between two configurations.
type Change struct {
	Path   string
	Before json.RawMessage
	After  json.RawMessage
}

// HistoryEntry is one accepted patch.
type HistoryEntry struct {
	Number     lavid.ConfigNumber
	Patch      lavid.PatchID
	Author     string
	Submitted  time.Time
	Operations json.RawMessage
}

// PatchStatus says what became of a patch.
type PatchStatus struct {
	Patch  lavid.PatchID
	State  string
	Number lavid.ConfigNumber
	Remedy string
}

// Fleet is what an entry host knows of hosts and backend servers.
type Fleet struct {
	Number  lavid.ConfigNumber
	Self    Host
	Hosts   []Host
	Servers []Server
}

// Host is one host of the system.
type Host struct {
	ID         lavid.HostID
	Role       string
	Address    string
	DataCentre lavid.DataCentreID
	Leaving    bool
	Heard      time.Time
	Failures   int
}

// Server is one backend server.
type Server struct {
	ID         lavid.BackendServerID
	DataCentre lavid.DataCentreID
	Service    lavid.ServiceID
	Versions   []lavid.VersionID
	State      lavconfig.ServingState
	InService  bool
}

// Rollouts is the state of the versions.
type Rollouts struct {
	Number   lavid.ConfigNumber
	Versions []Rollout
}

// Rollout is one version.
type Rollout struct {
	Version  lavid.VersionID
	Model    lavid.ModelID
	State    lavconfig.VersionState
	MaxShare lavid.Share
	Replaces lavid.VersionID
}

// CallPage is a part of the calls in doubt.
type CallPage struct {
	Calls []CallInDoubt
	Next  string
}

// CallInDoubt is a call whose outcome is not known.
type CallInDoubt struct {
	Account lavid.AccountID
	Request lavid.RequestID
	Attempt lavid.AttemptID
	Holder  string
	Server  lavid.BackendServerID
	Claimed time.Time
}

// Settlement is an operator's word on a call in doubt.
type Settlement struct {
	Account     lavid.AccountID
	Request     lavid.RequestID
	Attempt     lavid.AttemptID
	Ran         bool
	StatusCode  int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
}
