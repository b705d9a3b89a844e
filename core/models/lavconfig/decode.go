package lavconfig

import (
	"bytes"
	"encoding/json"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
)

// WithTables returns the document with an empty table in place of each missing one, so that patches can add rows; nil gives configuration zero.
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

// Decode reads a patched document and refuses unknown keys and values of a wrong type.
func Decode(data []byte) (*Document, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	document := &Document{}
	if err := decoder.Decode(document); err != nil {
		return nil, laverror.New(laverror.KindInvalidConfig, "patched configuration is not valid: "+err.Error(), "correct the key or value; docs/CONFIGURATION.md lists them")
	}
	return document.WithTables(), nil
}
