package lavbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavexchange"
	"lavenderswitch/core/modules/lavtcp"
	"lavenderswitch/wire/lavwire"
)

// The headers between side process and backend server; HeaderVersion is set on responses, the others on requests.
const (
	HeaderAttempt  = "Lavender-Attempt"
	HeaderRequest  = "Lavender-Request"
	HeaderPriority = "Lavender-Priority"
	HeaderVersion  = "Lavender-Version"
)

const (
	connectTimeout     = time.Second
	maxIdleConnections = 256
	idleTimeout        = 30 * time.Second
	// controlTimeout bounds the requests that read the state, send orders and cancel streams.
	controlTimeout = time.Second
	// maxStateBytes is many times the state of a backend server that runs thousands of attempts.
	maxStateBytes = 4 << 20
)

// ErrNotSent means that no byte of an attempt reached the backend server.
var ErrNotSent = errors.New("cannot connect to the backend server; check that it is running and that BackendAddress in the settings is correct")

// Client is an HTTP client of one backend server. It is safe for concurrent use.
type Client struct {
	base string
	// pooled reuses connections.
	pooled *http.Client
	// unpooled opens a new connection for each request. The transport then never repeats a request by itself, and no request
	// uses a stale connection.
	unpooled *http.Client
}

// NewClient returns a client of the backend server at the base URL.
func NewClient(base string) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	pooled := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			opened, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, errors.Wrap(err, "connect to the backend server")
			}
			return lavtcp.ReportResets(opened), nil
		},
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	unpooled := pooled.Clone()
	unpooled.DisableKeepAlives = true
	return &Client{base: base, pooled: &http.Client{Transport: pooled}, unpooled: &http.Client{Transport: unpooled}}
}

// Dispatch sends an attempt with its body to the backend server. The caller closes the body of the response.
//
// It returns ErrNotSent when no byte of the attempt reached the backend server and none will.
func (c *Client) Dispatch(ctx context.Context, attempt *lavwire.Attempt, body []byte) (*http.Response, error) {
	connected := &atomic.Bool{}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, attempt.GetMethod(), c.base+attempt.GetPath(), bytes.NewReader(body))
	if err != nil {
		return nil, ErrNotSent
	}
	request.Header.Set("Content-Type", attempt.GetContentType())
	request.Header.Set(HeaderAttempt, attempt.GetAttemptId())
	request.Header.Set(HeaderRequest, attempt.GetRequestId())
	request.Header.Set(HeaderPriority, strconv.Itoa(int(attempt.GetPriority())))
	response, err := c.clientFor(attempt).Do(request)
	if err != nil && !connected.Load() {
		return nil, ErrNotSent
	}
	if err != nil {
		return nil, errors.Wrap(err, "dispatch to the backend server")
	}
	if !lavexchange.IsKnownStatus(response.StatusCode) {
		response.Body.Close()
		return nil, errors.Errorf("backend server answered with the unknown status %03d", response.StatusCode)
	}
	return response, nil
}

// clientFor returns the unpooled client for a non-idempotent attempt, which must not be sent twice.
func (c *Client) clientFor(attempt *lavwire.Attempt) *http.Client {
	if attempt.GetIdempotent() {
		return c.pooled
	}
	return c.unpooled
}

// CloseIdleConnections closes the pooled connections, because one of them stopped responding.
func (c *Client) CloseIdleConnections() {
	c.pooled.CloseIdleConnections()
}

// ErrStreamUnknown means that the engine has no stream of the attempt.
var ErrStreamUnknown = errors.New("engine has no stream for the attempt; send the attempt again")

// Resume reads the answer of an attempt again from a byte offset, over a new connection.
func (c *Client) Resume(ctx context.Context, attempt lavid.AttemptID, from uint64) (*http.Response, error) {
	path := "/streams/" + url.PathEscape(string(attempt)) + "?from=" + strconv.FormatUint(from, 10)
	response, err := c.send(ctx, c.unpooled, http.MethodGet, path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "resume the stream of an attempt")
	}
	switch response.StatusCode {
	case http.StatusOK:
		return response, nil
	case http.StatusNotFound:
		response.Body.Close()
		return nil, ErrStreamUnknown
	default:
		response.Body.Close()
		return nil, errors.Errorf("engine returned status %s for a resumed stream", response.Status)
	}
}

// Cancel stops the generation of an attempt's answer.
func (c *Client) Cancel(ctx context.Context, attempt lavid.AttemptID) error {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := c.send(ctx, c.unpooled, http.MethodPost, "/streams/"+url.PathEscape(string(attempt))+"/cancel", nil)
	if err != nil {
		return errors.Wrap(err, "cancel the stream of an attempt")
	}
	response.Body.Close()
	return nil
}

// State is the state that a backend server reports.
type State struct {
	LoadedVersions  []lavid.VersionID
	LoadingVersions []lavid.VersionID
	// Running and Waiting are the numbers of requests in progress and in the server's queue.
	Running int
	Waiting int
	Role    string
	// FirstTokenMicros is the time to the first token as the engine measures it; zero when it does not.
	FirstTokenMicros int64
	// Epoch is the epoch of the last order that the engine has accepted.
	Epoch lavid.Epoch
	// Streams lists the attempts whose answers can be resumed.
	Streams []lavid.AttemptID
	// AgeMillis is the age of the state when the backend server sent it.
	AgeMillis int64
}

// Age returns how old the state was when the backend server sent it.
func (s State) Age() time.Duration {
	return time.Duration(s.AgeMillis) * time.Millisecond
}

// ReadState reads the backend server's state over a new connection.
func (c *Client) ReadState(ctx context.Context) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	response, err := c.send(ctx, c.unpooled, http.MethodGet, "/state", nil)
	if err != nil {
		return State{}, errors.Wrap(err, "read the backend server's state")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return State{}, errors.Errorf("backend server returned status %s for its state", response.Status)
	}
	var state State
	err = json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(&state)
	return state, errors.Wrap(err, "decode the backend server's state")
}

func (c *Client) send(ctx context.Context, client *http.Client, method, path string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build the request to the backend server; check BackendAddress in the settings")
	}
	return client.Do(request)
}
