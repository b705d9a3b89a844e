package lavplatform

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
)

const (
	maxReplyBytes  = 64 << 20
	requestTimeout = 2 * time.Second
)

// Client speaks the platform's HTTP protocol.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the platform at the base URL.
func NewClient(base string) *Client {
	return &Client{base: base, http: &http.Client{Timeout: requestTimeout}}
}

type insertRequest struct{ Inserts []Insert }

type insertReply struct{ Written []Written }

type scanReply struct{ Rows []Row }

type hostsReply struct{ Hosts []Host }

// Insert writes a row if its key is absent; repeating it with the same writer settles a lost reply.
func (c *Client) Insert(ctx context.Context, insert Insert) (Written, error) {
	written, err := c.InsertAll(ctx, []Insert{insert})
	if err != nil {
		return Written{}, err
	}
	return written[0], nil
}

// InsertAll writes each row whose key is absent, in one transaction.
func (c *Client) InsertAll(ctx context.Context, inserts []Insert) ([]Written, error) {
	var reply insertReply
	if _, err := c.call(ctx, http.MethodPost, "/tables/insert", insertRequest{inserts}, &reply); err != nil {
		return nil, err
	}
	if len(reply.Written) != len(inserts) {
		return nil, ErrStoreUnavailable{Reason: "the reply is incomplete"}
	}
	return reply.Written, nil
}

// Swap replaces a row that still has the stated revision.
func (c *Client) Swap(ctx context.Context, swap Swap) (Written, error) {
	var reply Written
	_, err := c.call(ctx, http.MethodPost, "/tables/swap", swap, &reply)
	return reply, err
}

// Get returns one row or ErrRowNotExist.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	var row Row
	path := "/tables/" + url.PathEscape(table) + "/rows/" + url.PathEscape(key)
	status, err := c.call(ctx, http.MethodGet, path, nil, &row)
	if status == http.StatusNotFound {
		return Row{}, ErrRowNotExist{Table: table, Key: key}
	}
	return row, err
}

// Scan returns up to limit rows of a table whose keys follow after, in order.
func (c *Client) Scan(ctx context.Context, table, after string, limit int) ([]Row, error) {
	query := url.Values{"after": {after}, "limit": {strconv.Itoa(limit)}}
	var reply scanReply
	path := "/tables/" + url.PathEscape(table) + "/rows?" + query.Encode()
	_, err := c.call(ctx, http.MethodGet, path, nil, &reply)
	return reply.Rows, err
}

// Hosts returns the platform's host list, which lags behind the truth.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var reply hostsReply
	_, err := c.call(ctx, http.MethodGet, "/hosts", nil, &reply)
	return reply.Hosts, err
}

func (c *Client) call(ctx context.Context, method, path string, body, reply any) (int, error) {
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return 0, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, ErrStoreUnavailable{Reason: err.Error()}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return 0, ErrStoreUnavailable{Reason: err.Error()}
	}
	if response.StatusCode != http.StatusOK {
		return response.StatusCode, ErrStoreUnavailable{Reason: response.Status}
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return 0, ErrStoreUnavailable{Reason: "the reply is not JSON: " + err.Error()}
	}
	return response.StatusCode, nil
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode platform request")
		}
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, errors.Wrap(err, "build platform request; check PlatformAddress in the settings")
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
