package lavbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/wire/lavwire"
)

// The headers between side process and backend server.
const (
	HeaderAttempt = "Lavender-Attempt"
	HeaderRequest = "Lavender-Request"
	HeaderVersion = "Lavender-Version"
)

// State is what a backend server reports of itself.
type State struct {
	LoadedVersions []lavid.VersionID
	Running        int
	Waiting        int
	Epoch          lavid.Epoch
}

// Client speaks to one backend server.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the backend server at the base URL.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{}}
}

// Dispatch starts the work of an attempt; the caller closes the body of the response.
func (c *Client) Dispatch(ctx context.Context, attempt *lavwire.Attempt) (*http.Response, error) {
	body := bytes.NewReader(attempt.GetBody())
	request, err := http.NewRequestWithContext(ctx, attempt.GetMethod(), c.base+attempt.GetPath(), body)
	if err != nil {
		return nil, errors.Wrap(err, "build backend request; check the path of the call in the configuration")
	}
	request.Header.Set("Content-Type", attempt.GetContentType())
	request.Header.Set(HeaderAttempt, attempt.GetAttemptId())
	request.Header.Set(HeaderRequest, attempt.GetRequestId())
	response, err := c.http.Do(request)
	return response, errors.Wrap(err, "dispatch to the backend server")
}

// ReadState returns the backend server's report.
func (c *Client) ReadState(ctx context.Context) (State, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/state", nil)
	if err != nil {
		return State{}, errors.Wrap(err, "build state request; check BackendAddress in the settings")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return State{}, errors.Wrap(err, "read the backend server's state")
	}
	defer response.Body.Close()
	var state State
	err = json.NewDecoder(response.Body).Decode(&state)
	return state, errors.Wrap(err, "decode the backend server's state")
}
