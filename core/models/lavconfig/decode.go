package lavconfig

import (
	"encoding/json"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavsettings"
)

// WithTables returns a copy of the document in which each nil table is an empty one, so that patches can add rows.
// A nil document gives the empty configuration with number zero.
func (d *Document) WithTables() *Document {
	filled := Document{}
	if d != nil {
		filled = *d
	}
	if filled.ClientAccounts == nil {
		filled.ClientAccounts = make(map[lavid.AccountID]ClientAccount)
	}
	if filled.Versions == nil {
		filled.Versions = make(map[lavid.VersionID]Version)
	}
	if filled.Services == nil {
		filled.Services = make(map[lavid.ServiceID]Service)
	}
	if filled.DataCentres == nil {
		filled.DataCentres = make(map[lavid.DataCentreID]DataCentre)
	}
	if filled.BackendServers == nil {
		filled.BackendServers = make(map[lavid.BackendServerID]BackendServer)
	}
	return &filled
}

// Decode parses a document after a patch was applied. It fails with ErrInvalid, which lists every unknown key and every
// value of a wrong type.
func Decode(data []byte) (*Document, error) {
	document := &Document{}
	if faults := lavsettings.Inspect(data, document, "/"); len(faults) > 0 {
		return nil, ErrInvalid{Faults: faults}
	}
	if err := json.Unmarshal(data, document); err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	return document.WithTables(), nil
}
