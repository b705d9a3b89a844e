package lavclient

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavsettings"
)

// Refusal is an error reply of an entry host. Status is the HTTP status code. Faults and Warnings list the problems of
// a refused patch. Current is the number of the current configuration and Since the patches accepted since the base of
// a conflicting patch; without a conflict, they are zero and nil.
type Refusal struct {
	Status int `json:"-"`
	lavhttp.ErrorBody
	Faults   lavsettings.Faults
	Warnings lavsettings.Faults
	Current  lavid.ConfigNumber
	Since    []HistoryEntry
}

// readRefusal decodes an error reply. A reply without a message gets one with its status.
func readRefusal(status int, data []byte) error {
	refusal := &Refusal{Status: status}
	if json.Unmarshal(data, refusal) != nil || refusal.ErrorBody.Error.Message == "" {
		refusal.ErrorBody.Error.Message = fmt.Sprintf("entry host answered %d %s", status, http.StatusText(status))
	}
	return refusal
}

// Kind returns the error kind that the entry host sent.
func (r *Refusal) Kind() laverror.Kind {
	return r.ErrorBody.Error.Code
}

// Error returns the message, followed by one line for each fault, warning and conflicting patch.
func (r *Refusal) Error() string {
	lines := []string{r.ErrorBody.Error.Message}
	for _, fault := range r.Faults {
		lines = append(lines, "  fault "+lavsettings.Faults{fault}.Error())
	}
	for _, warning := range r.Warnings {
		lines = append(lines, "  warning "+lavsettings.Faults{warning}.Error())
	}
	if r.Current > 0 {
		lines = append(lines, fmt.Sprintf("  the current configuration is %d; patches accepted since:", r.Current))
	}
	for _, entry := range r.Since {
		lines = append(lines, fmt.Sprintf("  %d by %s: %s", entry.Number, entry.Author, entry.Operations))
	}
	return strings.Join(lines, "\n")
}
