package lavclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
)

// requestTimeout bounds a request to one entry host.
const requestTimeout = 15 * time.Second

// headerPatch is the header with the patch id.
const headerPatch = "Lavender-Patch"

// Client calls the operator API of entry hosts.
type Client struct {
	// Addresses are base URLs of entry hosts, tried in order.
	Addresses []string
	// Key is the operator key that authorizes the requests.
	Key  string
	HTTP *http.Client
}

// call is one request, which any entry host can answer. ifMatch and patch are set only for a patch.
type call struct {
	method  string
	path    string
	query   url.Values
	ifMatch string
	patch   lavid.PatchID
	body    []byte
}

// Get returns the JSON reply to a GET request. An error reply is returned as *Refusal.
func (c *Client) Get(ctx context.Context, path string, query url.Values) (json.RawMessage, error) {
	return c.send(ctx, call{method: http.MethodGet, path: path, query: query})
}

// Read decodes the JSON reply to a GET request into value. An error reply is returned as *Refusal.
func (c *Client) Read(ctx context.Context, path string, query url.Values, value any) error {
	data, err := c.Get(ctx, path, query)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, value), "decode the reply; lavenderctl and the entry host may have different versions")
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (*lavconfig.Document, error) {
	document := &lavconfig.Document{}
	err := c.Read(ctx, "/config", nil, document)
	return document.WithTables(), err
}

// Submission is a patch to submit. Base is the number of the configuration that the patch was made against.
type Submission struct {
	ID         lavid.PatchID
	Base       lavid.ConfigNumber
	Operations json.RawMessage
	Force      bool
	DryRun     bool
}

// Submit sends a patch. The patch id makes the request idempotent, so that it can be sent to several entry hosts.
func (c *Client) Submit(ctx context.Context, submission Submission) (json.RawMessage, error) {
	query := url.Values{}
	if submission.Force {
		query.Set("Force", "true")
	}
	if submission.DryRun {
		query.Set("DryRun", "true")
	}
	return c.send(ctx, call{
		method:  http.MethodPatch,
		path:    "/config",
		query:   query,
		ifMatch: strconv.Quote(strconv.FormatUint(uint64(submission.Base), 10)),
		patch:   submission.ID,
		body:    submission.Operations,
	})
}

// Settle sends an operator's decision whether a call in doubt ran.
func (c *Client) Settle(ctx context.Context, settlement Settlement) (json.RawMessage, error) {
	body, err := json.Marshal(settlement)
	if err != nil {
		return nil, errors.Wrap(err, "encode the settlement")
	}
	return c.send(ctx, call{method: http.MethodPost, path: "/calls/settle", body: body})
}

// send tries the addresses in order until one answers. An error reply counts as an answer.
func (c *Client) send(ctx context.Context, call call) (json.RawMessage, error) {
	if len(c.Addresses) == 0 {
		return nil, errors.New("no address of an entry host; set LAVENDERCTL_ADDRESS or give --address")
	}
	var lastErr error
	for _, address := range c.Addresses {
		data, err := c.sendTo(ctx, address, call)
		if err == nil || !isUnreachable(err) {
			return data, err
		}
		lastErr = err
	}
	if call.method == http.MethodPatch {
		return nil, errors.Wrapf(lastErr, "no entry host answered; repeat the patch with --id %s", call.patch)
	}
	return nil, errors.Wrap(lastErr, "no entry host answered; check --address")
}

// unreachableError is returned when an address gave no complete reply.
type unreachableError struct{ error }

func isUnreachable(err error) bool {
	var target unreachableError
	return errors.As(err, &target)
}

// IsUnreachable reports whether err was returned because no entry host sent a complete reply.
func IsUnreachable(err error) bool { return isUnreachable(err) }

func (c *Client) sendTo(ctx context.Context, address string, call call) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	endpoint := address + call.path
	if len(call.query) > 0 {
		endpoint += "?" + call.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, call.method, endpoint, bytes.NewReader(call.body))
	if err != nil {
		return nil, errors.Wrap(err, "build the request; check --address")
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	if call.ifMatch != "" {
		request.Header.Set("If-Match", call.ifMatch)
		request.Header.Set(headerPatch, string(call.patch))
	}
	response, err := c.HTTP.Do(request)
	if err != nil {
		return nil, unreachableError{err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, unreachableError{err}
	}
	if response.StatusCode != http.StatusOK {
		return nil, readRefusal(response.StatusCode, data)
	}
	return data, nil
}
