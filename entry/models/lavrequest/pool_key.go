package lavrequest

import "lavenderswitch/core/models/lavid"

// PoolKey identifies the backend servers that a stage needs: those of a version or of a plain service.
type PoolKey struct {
	Version lavid.VersionID
	Service lavid.ServiceID
}
