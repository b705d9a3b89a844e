package lavadmission

import (
	"testing"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/wire/lavwire"
)

func document() *lavconfig.Document {
	return &lavconfig.Document{
		Number:      7,
		DataCentres: map[lavid.DataCentreID]lavconfig.DataCentre{"dc": {State: lavconfig.InService}},
		Versions:    map[lavid.VersionID]lavconfig.Version{"v": {State: lavconfig.VersionServing}, "other": {State: lavconfig.VersionServing}},
		Services: map[lavid.ServiceID]lavconfig.Service{"s": {Calls: map[lavid.CallID]lavconfig.Call{
			"submit": {Method: "POST", Path: "/submit"},
		}}},
		ClientAccounts: map[lavid.AccountID]lavconfig.ClientAccount{
			"a": {AllowedVersions: []lavid.VersionID{"v"}, AllowedServices: []lavid.ServiceID{"s"}},
		},
		BackendServers: map[lavid.BackendServerID]lavconfig.BackendServer{
			"engine":  {DataCentre: "dc", State: lavconfig.InService},
			"service": {DataCentre: "dc", State: lavconfig.InService, Service: "s"},
		},
	}
}

func chat() *lavwire.Attempt {
	return &lavwire.Attempt{AccountId: "a", BackendServerId: "engine", VersionId: "v", ConfigNumber: 7, Idempotent: true}
}

func call() *lavwire.Attempt {
	return &lavwire.Attempt{AccountId: "a", BackendServerId: "service", ServiceId: "s", CallId: "submit", Method: "POST", Path: "/submit"}
}

type scenario struct {
	document *lavconfig.Document
	server   Server
	attempt  *lavwire.Attempt
}

// TestDecideRefusesAttemptsThatFailOneCondition starts from an attempt that is admitted and changes one condition in each case.
func TestDecideRefusesAttemptsThatFailOneCondition(t *testing.T) {
	cases := []struct {
		name    string
		service bool
		change  func(s *scenario)
		want    lavwire.RefusalKind
	}{
		{"chat", false, func(*scenario) {}, 0},
		{"service call", true, func(*scenario) {}, 0},
		{"no current configuration", false, func(s *scenario) { s.document = nil }, lavwire.RefusalKind_REFUSAL_KIND_CONFIG_STALE},
		{"configuration behind", false, func(s *scenario) { s.attempt.ConfigNumber = 8 }, lavwire.RefusalKind_REFUSAL_KIND_CONFIG_BEHIND},
		{"other server", false, func(s *scenario) { s.attempt.BackendServerId = "service" }, lavwire.RefusalKind_REFUSAL_KIND_WRONG_SERVER},
		{"leaving", false, func(s *scenario) { s.server.Leaving = true }, lavwire.RefusalKind_REFUSAL_KIND_SERVER_LEAVING},
		{"server out of service", false, func(s *scenario) {
			s.document.BackendServers["engine"] = lavconfig.BackendServer{DataCentre: "dc", State: lavconfig.OutOfService}
		}, lavwire.RefusalKind_REFUSAL_KIND_SERVER_LEAVING},
		{"data centre out of service", false, func(s *scenario) {
			s.document.DataCentres["dc"] = lavconfig.DataCentre{State: lavconfig.OutOfService}
		}, lavwire.RefusalKind_REFUSAL_KIND_DATA_CENTRE_OUT},
		{"unknown account", false, func(s *scenario) { s.attempt.AccountId = "b" }, lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_ALLOWED},
		{"version not allowed", false, func(s *scenario) { s.attempt.VersionId = "other" }, lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_ALLOWED},
		{"version withdrawn", false, func(s *scenario) {
			s.document.Versions["v"] = lavconfig.Version{State: lavconfig.VersionWithdrawn}
		}, lavwire.RefusalKind_REFUSAL_KIND_VERSION_WITHDRAWN},
		{"version not loaded", false, func(s *scenario) { s.server.LoadedVersions = nil }, lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_LOADED},
		{"full", false, func(s *scenario) { s.server.Full = true }, lavwire.RefusalKind_REFUSAL_KIND_SERVER_FULL},
		{"call with another idempotency", true, func(s *scenario) { s.attempt.Idempotent = true }, lavwire.RefusalKind_REFUSAL_KIND_CONFIG_BEHIND},
		{"call under another path", true, func(s *scenario) { s.attempt.Path = "/other" }, lavwire.RefusalKind_REFUSAL_KIND_CONFIG_BEHIND},
		{"service of another server", true, func(s *scenario) { s.attempt.ServiceId = "t" }, lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_ALLOWED},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := scenario{document: document(), server: Server{ID: "engine", LoadedVersions: []lavid.VersionID{"v"}}, attempt: chat()}
			if c.service {
				s.server.ID, s.attempt = "service", call()
			}
			c.change(&s)
			refusal := Decide(s.document, s.server, s.attempt)
			is.Equal(refusal.GetKind(), c.want)
			if refusal != nil {
				is.Equal(refusal.GetRunState(), lavwire.RunState_RUN_STATE_NOT_RUN)
				is.True(refusal.GetRemedy() != "")
			}
		})
	}
}
