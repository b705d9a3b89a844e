package lavrequest

import "lavenderswitch/core/models/lavid"

// Pool names the backend servers that a stage of a request needs: those of a version or of a plain service.
type Pool struct {
	Version lavid.VersionID
	Service lavid.ServiceID
}
