package lavadmission

import (
	"slices"
	"time"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/wire/lavwire"
)

// Server is what the side process knows of its backend server at the moment of the decision.
type Server struct {
	ID             lavid.BackendServerID
	Leaving        bool
	LoadedVersions []lavid.VersionID
	Running        int
	Limit          int
}

// Decide returns nil when the attempt may be dispatched now, or the refusal, whose run state is not run.
func Decide(document *lavconfig.Document, server Server, attempt *lavwire.Attempt, _ time.Time) *lavwire.Refusal {
	row, ok := document.BackendServers[server.ID]
	if !ok || lavid.BackendServerID(attempt.GetBackendServerId()) != server.ID {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_WRONG_SERVER, "try another backend server")
	}
	if server.Leaving || row.State != lavconfig.InService {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_SERVER_LEAVING, "try another backend server")
	}
	if document.DataCentres[row.DataCentre].State != lavconfig.InService {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_DATA_CENTRE_OUT, "try another data centre")
	}
	if refusal := decideAllowed(document, row, server, attempt); refusal != nil {
		return refusal
	}
	if server.Running >= server.Limit {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_SERVER_FULL, "try another backend server")
	}
	return nil
}

func decideAllowed(document *lavconfig.Document, row lavconfig.BackendServer, server Server, attempt *lavwire.Attempt) *lavwire.Refusal {
	account, ok := document.ClientAccounts[lavid.AccountID(attempt.GetAccountId())]
	if !ok {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_ALLOWED, "ask an operator to add the client account")
	}
	if attempt.GetServiceId() != "" {
		return decideService(document, row, account, attempt)
	}
	id := lavid.VersionID(attempt.GetVersionId())
	version, ok := document.Versions[id]
	if !ok || version.State == lavconfig.VersionWithdrawn {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_VERSION_WITHDRAWN, "choose another version")
	}
	if !slices.Contains(account.AllowedVersions, id) {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_ALLOWED, "choose an allowed version")
	}
	if !slices.Contains(server.LoadedVersions, id) {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_LOADED, "try another backend server")
	}
	return nil
}

func decideService(document *lavconfig.Document, row lavconfig.BackendServer, account lavconfig.ClientAccount, attempt *lavwire.Attempt) *lavwire.Refusal {
	id := lavid.ServiceID(attempt.GetServiceId())
	if row.Service != id || !slices.Contains(account.AllowedServices, id) {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_VERSION_NOT_ALLOWED, "choose an allowed service")
	}
	call, ok := document.Services[id].Calls[lavid.CallID(attempt.GetCallId())]
	if !ok || call.Idempotent != attempt.GetIdempotent() {
		return refuse(document, lavwire.RefusalKind_REFUSAL_KIND_CONFIG_BEHIND, "retry under the present configuration")
	}
	return nil
}

func refuse(document *lavconfig.Document, kind lavwire.RefusalKind, remedy string) *lavwire.Refusal {
	return &lavwire.Refusal{
		Kind:         kind,
		RunState:     lavwire.RunState_RUN_STATE_NOT_RUN,
		Remedy:       remedy,
		ConfigNumber: uint64(document.Number),
	}
}
