package lavclient

import (
	"encoding/json"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavsettings"
)

// Receipt is the reply to an accepted patch. Reached lists the data centres in which a host has adopted the new
// configuration. InForce reports whether they are a majority.
type Receipt struct {
	Number  lavid.ConfigNumber
	Patch   lavid.PatchID
	Reached []lavid.DataCentreID
	InForce bool
}

// Preview is the reply to a dry run. Warnings are the problems that a patch with Force ignores.
type Preview struct {
	Number   lavid.ConfigNumber
	Faults   lavsettings.Faults
	Warnings lavsettings.Faults
	Changes  []Change
}

// Change is a value that differs between two configurations.
type Change struct {
	Path   string
	Before json.RawMessage
	After  json.RawMessage
}

// HistoryEntry describes an accepted patch.
type HistoryEntry struct {
	Number     lavid.ConfigNumber
	Patch      lavid.PatchID
	Author     string
	Submitted  time.Time
	Operations json.RawMessage
}

// PatchStatus is the state of a submitted patch. Number is the configuration that it made, or zero.
type PatchStatus struct {
	Patch  lavid.PatchID
	State  string
	Number lavid.ConfigNumber
	Remedy string
}

// Fleet is an entry host's list of hosts and backend servers.
type Fleet struct {
	Number  lavid.ConfigNumber
	Self    Host
	Hosts   []Host
	Servers []Server
}

// Host describes a host. Heard is the time of its last contact with the reporting host, and Failures is the number of
// unanswered calls since then.
type Host struct {
	ID         lavid.HostID
	Role       string
	Address    string
	DataCentre lavid.DataCentreID
	Leaving    bool
	Heard      time.Time
	Failures   int
}

// Server describes a backend server. InService reports whether the backend server and its data centre are both in
// service.
type Server struct {
	ID         lavid.BackendServerID
	DataCentre lavid.DataCentreID
	Service    lavid.ServiceID
	Versions   []lavid.VersionID
	State      lavconfig.ServingState
	InService  bool
}

// Rollouts lists the versions of configuration Number.
type Rollouts struct {
	Number   lavid.ConfigNumber
	Versions []Rollout
}

// Rollout describes a version and the largest share of new sessions that it may get.
type Rollout struct {
	Version  lavid.VersionID
	Model    lavid.ModelID
	State    lavconfig.VersionState
	MaxShare lavid.Share
	Replaces lavid.VersionID
}

// CallPage is one page of the calls in doubt. Next is the position after which the next page starts, or empty on the
// last page.
type CallPage struct {
	Calls []CallInDoubt
	Next  string
}

// CallInDoubt is a call that was claimed and has no recorded outcome.
type CallInDoubt struct {
	Account lavid.AccountID
	Request lavid.RequestID
	Attempt lavid.AttemptID
	Holder  string
	Server  lavid.BackendServerID
	Claimed time.Time
}

// Settlement is an operator's decision whether a call in doubt ran, with the answer of the backend server if known.
type Settlement struct {
	Account     lavid.AccountID
	Request     lavid.RequestID
	Attempt     lavid.AttemptID
	Ran         bool
	StatusCode  int    `json:",omitempty"`
	ContentType string `json:",omitempty"`
	Body        []byte `json:",omitempty"`
}
