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

// ErrorReply is the body of every error answer to operators.
type ErrorReply struct {
	lavhttp.ErrorBody
	// Faults lists what is wrong with a configuration.
	Faults lavsettings.Faults `json:",omitempty"`
	// Warnings lists dangerous effects that need Force.
	Warnings lavsettings.Faults `json:",omitempty"`
	// Current is the present number after a conflict.
	Current lavid.ConfigNumber `json:",omitempty"`
	// Since lists the patches accepted since the base of a patch in conflict, newest first.
	Since []lavoperation.HistoryEntry `json:",omitempty"`
}

// writeReply writes a value, or the error.
func writeReply(w http.ResponseWriter, value any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	lavhttp.WriteJSON(w, http.StatusOK, value)
}

func writeError(w http.ResponseWriter, err error) {
	if lavplatform.IsErrStoreUnavailable(err) {
		err = laverror.New(laverror.KindStoreUnavailable, "the store gave no reply", "ask again, or another entry host")
	}
	body := ErrorReply{ErrorBody: lavhttp.Detail(err)}
	var conflict lavoperation.Conflict
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
		return nil, laverror.New(laverror.KindTooLarge, "the body is too large", "split it")
	}
	if err != nil {
		return nil, laverror.New(laverror.KindBadRequest, "the body was cut", "send it again")
	}
	return body, nil
}
