package lavoperator

import (
	"io"
	"net/http"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/modules/lavsettings"
	"lavenderswitch/entry/services/lavoperation"
)

// ErrorReply is the body of every error reply to an operator.
type ErrorReply struct {
	lavhttp.ErrorBody
	// Faults lists the errors of a configuration.
	Faults lavsettings.Faults `json:",omitempty"`
	// Warnings lists dangerous effects of a patch, which is accepted only with Force.
	Warnings lavsettings.Faults `json:",omitempty"`
	// Current is the number of the current configuration after a conflict.
	Current lavid.ConfigNumber `json:",omitempty"`
	// Since lists the patches accepted after the base of a patch in conflict, the newest first.
	Since []lavoperation.HistoryEntry `json:",omitempty"`
}

// writeReply writes a value, or err when it is not nil.
func writeReply(w http.ResponseWriter, value any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	lavhttp.WriteJSON(w, http.StatusOK, value)
}

func writeError(w http.ResponseWriter, err error) {
	if lavplatform.IsErrStoreUnavailable(err) {
		err = laverror.New(laverror.KindStoreUnavailable, "the store did not reply", "repeat the request, or send it to another entry host")
	}
	body := ErrorReply{ErrorBody: lavhttp.NewErrorBody(err)}
	var conflict lavoperation.ErrConflict
	if errors.As(err, &conflict) {
		body.Current = conflict.Current
		body.Since = conflict.Since
	}
	var invalid lavconfig.ErrInvalid
	if errors.As(err, &invalid) {
		body.Faults = invalid.Faults
	}
	var dangerous lavconfig.ErrDangerous
	if errors.As(err, &dangerous) {
		body.Warnings = dangerous.Warnings
	}
	lavhttp.WriteErrorBody(w, err, body)
}

func readBody(w http.ResponseWriter, request *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, laverror.New(laverror.KindTooLarge, "the body is too large", "split the request into smaller ones")
	}
	if err != nil {
		return nil, laverror.New(laverror.KindBadRequest, "the body is incomplete", "send it again")
	}
	return body, nil
}
