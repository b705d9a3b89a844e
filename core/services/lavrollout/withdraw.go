package lavrollout

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// Withdrawal is a configuration patch that withdraws stopped versions, to be submitted against the configuration with
// the number Base.
type Withdrawal struct {
	Base       lavid.ConfigNumber
	Versions   []lavid.VersionID
	Operations json.RawMessage
}

// operation is one operation of a JSON Patch (RFC 6902).
type operation struct {
	Op    string                 `json:"op"`
	Path  string                 `json:"path"`
	Value lavconfig.VersionState `json:"value"`
}

// NewWithdrawal returns the patch that withdraws the stopped versions, or false if none of them can be withdrawn. Each
// operation tests the version's state first, so that the patch fails on a configuration in which it has changed.
func NewWithdrawal(document *lavconfig.Document, stopped []lavid.VersionID) (Withdrawal, bool, error) {
	withdrawal := Withdrawal{Base: document.Number}
	var operations []operation
	for _, id := range stopped {
		if !withdrawable(document, id, withdrawal.Versions) {
			continue
		}
		path := "/Versions/" + escapePointerToken(string(id)) + "/State"
		operations = append(operations,
			operation{Op: "test", Path: path, Value: document.Versions[id].State},
			operation{Op: "replace", Path: path, Value: lavconfig.VersionWithdrawn},
		)
		withdrawal.Versions = append(withdrawal.Versions, id)
	}
	if len(operations) == 0 {
		return Withdrawal{}, false, nil
	}
	text, err := json.Marshal(operations)
	if err != nil {
		return Withdrawal{}, false, errors.Wrap(err, "encode patch")
	}
	withdrawal.Operations = text
	return withdrawal, true, nil
}

// withdrawable reports whether a version can be withdrawn. A serving version can if every account that may use it
// keeps another serving version of its model; a version under roll-out always can.
func withdrawable(document *lavconfig.Document, id lavid.VersionID, withdrawn []lavid.VersionID) bool {
	version, exists := document.Versions[id]
	if !exists || version.State == lavconfig.VersionWithdrawn {
		return false
	}
	if version.State == lavconfig.VersionRollingOut {
		return true
	}
	for _, account := range document.ClientAccounts {
		if slices.Contains(account.AllowedVersions, id) && !keepsServingVersion(document, account, id, withdrawn) {
			return false
		}
	}
	return true
}

// keepsServingVersion reports whether an account may use another serving version of the model besides those withdrawn.
func keepsServingVersion(document *lavconfig.Document, account lavconfig.ClientAccount, id lavid.VersionID, withdrawn []lavid.VersionID) bool {
	for _, other := range account.AllowedVersions {
		version := document.Versions[other]
		serving := version.State == lavconfig.VersionServing && !slices.Contains(withdrawn, other)
		if other != id && serving && version.Model == document.Versions[id].Model {
			return true
		}
	}
	return false
}

// escapePointerToken escapes a name as a token of a JSON Pointer (RFC 6901).
func escapePointerToken(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
