package lavrequest

import "lavenderswitch/core/models/lavid"

// Pool identifies the backend servers that a stage needs: those of a version or of a plain service.
type Pool struct {
	Version lavid.VersionID
	Service lavid.ServiceID
}
