package lavcaller

import (
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/entry/models/lavrequest"
)

const (
	// defaultMaxBodyBytes is the limit of client accounts that have none of their own.
	defaultMaxBodyBytes = 8 << 20
	// bodyTimeout bounds the time in which a caller must send the body.
	bodyTimeout = 30 * time.Second
	// maxIDBytes bounds the idempotency key and the session id.
	maxIDBytes = 256
	// maxTimeout bounds the timeout that a caller may request.
	maxTimeout = 10 * time.Minute
)

// readRequest reads the parts that all requests have in common: body, ids and deadline.
func (r *Router) readRequest(w http.ResponseWriter, request *http.Request, id lavid.AccountID, account lavconfig.ClientAccount) (*lavrequest.Request, error) {
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	limit := account.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, limit))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		return nil, laverror.New(laverror.KindTooLarge, "body is too large: "+err.Error(), "send a body within the client account's limit")
	}
	if err != nil {
		return nil, laverror.New(laverror.KindBadRequest, "body is incomplete: "+err.Error(), "send the whole body")
	}
	now := time.Now()
	timeout, hasTimeout, err := r.parseTimeout(request)
	if err != nil {
		return nil, err
	}
	requestID := request.Header.Get(HeaderIdempotencyKey)
	if len(requestID) > maxIDBytes || len(request.Header.Get(HeaderSession)) > maxIDBytes {
		return nil, laverror.New(laverror.KindBadRequest, "Idempotency-Key or Lavender-Session is too long", "send at most 256 bytes")
	}
	if requestID == "" {
		requestID = uuid.NewString()
	}
	return &lavrequest.Request{
		ID:            lavid.RequestID(requestID),
		Account:       id,
		Session:       lavid.SessionID(request.Header.Get(HeaderSession)),
		Class:         lavid.TaskClass(request.Header.Get(HeaderTaskClass)),
		Method:        request.Method,
		ContentType:   request.Header.Get("Content-Type"),
		Body:          body,
		Fingerprint:   xxhash.Sum64(body),
		Arrived:       now,
		Deadline:      now.Add(timeout),
		TimeoutStated: hasTimeout,
	}, nil
}

// parseTimeout returns the timeout of the request and whether the caller set it.
func (r *Router) parseTimeout(request *http.Request) (time.Duration, bool, error) {
	text := request.Header.Get(HeaderTimeout)
	if text == "" {
		return r.RequestTimeout, false, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, false, laverror.New(laverror.KindBadRequest, "Lavender-Timeout is not a duration above zero and up to 10m", "send a duration such as 90s")
	}
	return timeout, true, nil
}
