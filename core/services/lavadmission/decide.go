package lavadmission

import (
	"slices"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/wire/lavwire"
)

// The times after which a retry can succeed, by the cause of the refusal.
const (
	retryAfterFull   = 200 * time.Millisecond
	retryAfterConfig = 500 * time.Millisecond
	retryAfterLoad   = 2 * time.Second
)

// Server is the state of a backend server for a decision, as its side process last read it.
type Server struct {
	ID lavid.BackendServerID
	// Leaving reports whether the side process or its host is shutting down.
	Leaving        bool
	LoadedVersions []lavid.VersionID
	// Full reports whether the limit is reached; it is false for an attempt that already holds a permit.
	Full bool
}

// Decide returns nil when the attempt may be dispatched now. Otherwise it returns a refusal with the run state "not run".
//
// The document is nil when this process cannot determine whether its configuration is the newest.
func Decide(document *lavconfig.Document, server Server, attempt *lavwire.Attempt) *lavwire.Refusal {
	if refusal := decideConfig(document, attempt); refusal != nil {
		return refusal
	}
	row, ok := document.BackendServers[server.ID]
	if !ok || lavid.BackendServerID(attempt.GetBackendServerId()) != server.ID {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_WRONG_SERVER, "try another backend server", 0)
	}
	if server.Leaving || row.State != lavconfig.InService {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_SERVER_LEAVING, "try another backend server", 0)
	}
	if document.DataCentres[row.DataCentre].State != lavconfig.InService {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_DATA_CENTRE_OUT, "try another data centre", 0)
	}
	if refusal := decideAllowed(document, row, server, attempt); refusal != nil {
		return refusal
	}
	if server.Full {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_SERVER_FULL, "try another backend server", retryAfterFull)
	}
	return nil
}

// decideConfig refuses the attempt when the configuration is missing, may be stale or is older than the attempt's.
func decideConfig(document *lavconfig.Document, attempt *lavwire.Attempt) *lavwire.Refusal {
	if document == nil {
		return refuse(&lavconfig.Document{}, lavwire.RefusalKind_REFUSAL_KIND_CONFIG_STALE, "try another backend server", retryAfterConfig)
	}
	if lavid.ConfigNumber(attempt.GetConfigNumber()) > document.Number {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_CONFIG_BEHIND, "try another backend server", retryAfterConfig)
	}
	return nil
}

// decideAllowed refuses an attempt whose version or service the client account may not use or the server does not serve.
func decideAllowed(document *lavconfig.Document, row lavconfig.BackendServer, server Server, attempt *lavwire.Attempt) *lavwire.Refusal {
	account, ok := document.ClientAccounts[lavid.AccountID(attempt.GetAccountId())]
	if !ok {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_ALLOWED, "ask an operator to add the client account", 0)
	}
	if attempt.GetServiceId() != "" {
		return decideService(document, row, account, attempt)
	}
	id := lavid.VersionID(attempt.GetVersionId())
	version, ok := document.Versions[id]
	if !ok || version.State == lavconfig.VersionWithdrawn {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_VERSION_WITHDRAWN, "choose another version", 0)
	}
	if !slices.Contains(account.AllowedVersions, id) {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_ALLOWED, "choose an allowed version", 0)
	}
	if !slices.Contains(server.LoadedVersions, id) {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_LOADED, "try another backend server", retryAfterLoad)
	}
	return nil
}

// decideService checks a call of a plain service. It also refuses a call whose definition differs from the one that the
// sender used, because the sender has another configuration.
func decideService(document *lavconfig.Document, row lavconfig.BackendServer, account lavconfig.ClientAccount, attempt *lavwire.Attempt) *lavwire.Refusal {
	id := lavid.ServiceID(attempt.GetServiceId())
	if row.Service != id || !slices.Contains(account.AllowedServices, id) {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_ALLOWED, "choose an allowed service", 0)
	}
	call, ok := document.Services[id].Calls[lavid.CallID(attempt.GetCallId())]
	if !ok || call.Idempotent != attempt.GetIdempotent() || call.Method != attempt.GetMethod() || call.Path != attempt.GetPath() {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_CONFIG_BEHIND, "retry under the current configuration", retryAfterConfig)
	}
	return nil
}

func refuse(document *lavconfig.Document, kind lavwire.RefusalKind, remedy string, retryAfter time.Duration) *lavwire.Refusal {
	return &lavwire.Refusal{
		Kind:             kind,
		RunState:         lavwire.RunState_RUN_STATE_NOT_RUN,
		Remedy:           remedy,
		RetryAfterMillis: retryAfter.Milliseconds(),
		ConfigNumber:     uint64(document.Number),
	}
}
