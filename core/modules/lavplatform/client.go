package lavplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lavenderswitch/core/models/lavid"
)

// Client is an HTTP client of the platform. It is safe for concurrent use.
type Client struct {
	base      string
	transport *transport
	breaker   *breaker
	batcher   *batcher
}

// NewClient returns a client of the platform at the base URL.
func NewClient(base string) *Client {
	client := &Client{base: base, transport: newTransport(), breaker: &breaker{}}
	client.batcher = newBatcher(client.sendInserts)
	return client
}

type insertRequest struct{ Inserts []Insert }

type insertReply struct{ Written []WriteResult }

type scanReply struct{ Rows []Row }

type hostsReply struct{ Hosts []Host }

// Insert writes a row if its key is absent. If the reply is lost, repeating the call with the same writer returns the
// result of the first call.
func (c *Client) Insert(ctx context.Context, insert Insert) (WriteResult, error) {
	written, err := c.InsertAll(ctx, []Insert{insert})
	if err != nil {
		return WriteResult{}, err
	}
	return written[0], nil
}

// InsertAll writes each row whose key is absent, and returns one result for each row, in order. The rows must belong to one
// table. They are written in one transaction, which may include the rows of other callers.
func (c *Client) InsertAll(ctx context.Context, inserts []Insert) ([]WriteResult, error) {
	return c.batcher.insert(ctx, inserts)
}

// sendInserts writes rows in one call without batching.
func (c *Client) sendInserts(ctx context.Context, inserts []Insert) ([]WriteResult, error) {
	var reply insertReply
	if _, err := c.call(ctx, http.MethodPost, "/tables/insert", insertRequest{inserts}, &reply); err != nil {
		return nil, err
	}
	if len(reply.Written) != len(inserts) {
		return nil, ErrStoreUnavailable{Reason: "the reply does not hold one result for each row"}
	}
	return reply.Written, nil
}

// Swap replaces a row if it still has the given revision.
func (c *Client) Swap(ctx context.Context, swap Swap) (WriteResult, error) {
	var reply WriteResult
	_, err := c.call(ctx, http.MethodPost, "/tables/swap", swap, &reply)
	return reply, err
}

// Get returns one row. It fails with ErrRowNotExist if there is none.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	var row Row
	path := "/tables/" + url.PathEscape(table) + "/rows/" + url.PathEscape(key)
	status, err := c.call(ctx, http.MethodGet, path, nil, &row)
	if status == http.StatusNotFound {
		return Row{}, ErrRowNotExist{Table: table, Key: key}
	}
	return row, err
}

// Scan returns up to limit rows of a table in key order, starting with the first key greater than after.
func (c *Client) Scan(ctx context.Context, table, after string, limit int) ([]Row, error) {
	query := url.Values{"after": {after}, "limit": {strconv.Itoa(limit)}}
	var reply scanReply
	path := "/tables/" + url.PathEscape(table) + "/rows?" + query.Encode()
	_, err := c.call(ctx, http.MethodGet, path, nil, &reply)
	return reply.Rows, err
}

// Hosts returns the platform's host list, which may be outdated.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var reply hostsReply
	_, err := c.call(ctx, http.MethodGet, "/hosts", nil, &reply)
	return reply.Hosts, err
}

// PutObject stores an object under a name.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	_, err := c.exchange(ctx, request{method: http.MethodPut, path: objectPath(name), body: data})
	return err
}

// Object returns the data of an object. It fails with ErrObjectNotExist if there is none.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	resp, err := c.exchange(ctx, request{method: http.MethodGet, path: objectPath(name)})
	if resp.status == http.StatusNotFound {
		return nil, ErrObjectNotExist{Name: name}
	}
	return resp.body, err
}

func objectPath(name string) string {
	return "/objects/" + url.PathEscape(name)
}

// RatingRequest is a request to the rating service for the rating of one answer.
type RatingRequest struct {
	Request lavid.RequestID
	Version lavid.VersionID
	Class   lavid.TaskClass
	Prompt  string
	Answer  string
}

// Rating is the rating of one answer.
type Rating struct {
	Acceptable bool
	Score      float64
}

// Rate returns the rating of an answer. It waits until ctx ends, and its result does not count for the store's circuit
// breaker.
func (c *Client) Rate(ctx context.Context, rated RatingRequest) (Rating, error) {
	var rating Rating
	body, err := json.Marshal(rated)
	if err != nil {
		return rating, err
	}
	resp, err := c.transport.sendOnce(ctx, c.transport.pooled, request{method: http.MethodPost, path: c.base + "/ratings", body: body})
	if err != nil {
		return rating, err
	}
	return rating, decode(resp, &rating)
}

// minLoadPause is the shortest time between two requests for a load.
const minLoadPause = 100 * time.Millisecond

// StartLoad requests permission from the weight store to load the weights of a version. It returns zero if the load may
// start, or the time to wait before the next request.
func (c *Client) StartLoad(ctx context.Context, version lavid.VersionID) (time.Duration, error) {
	resp, err := c.exchange(ctx, request{method: http.MethodGet, path: "/weights/" + url.PathEscape(string(version))})
	if resp.status == http.StatusTooManyRequests {
		// Zero would mean that the load may start.
		return max(resp.retryAfter, minLoadPause), nil
	}
	return 0, err
}

// call sends body as JSON, decodes the reply and returns the HTTP status.
func (c *Client) call(ctx context.Context, method, path string, body, reply any) (int, error) {
	req := request{method: method, path: path}
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, err
		}
		req.body = data
	}
	resp, err := c.exchange(ctx, req)
	if err != nil {
		return resp.status, err
	}
	return resp.status, decode(resp, reply)
}

func decode(resp response, reply any) error {
	if err := json.Unmarshal(resp.body, reply); err != nil {
		return ErrStoreUnavailable{Reason: "the reply is not JSON: " + err.Error()}
	}
	return nil
}

// exchange sends a request unless the circuit breaker is open.
func (c *Client) exchange(ctx context.Context, req request) (response, error) {
	if !c.breaker.allow(time.Now()) {
		return response{}, ErrStoreUnavailable{Reason: "the circuit breaker is open after repeated failures", NotSent: true}
	}
	req.path = c.base + req.path
	resp, err := c.transport.send(ctx, req)
	c.breaker.record(outcomeOf(ctx, resp, err), time.Now())
	return resp, err
}

// outcomeOf returns the outcome of a call for the circuit breaker. Statuses 404 and 429 are valid replies of the platform.
func outcomeOf(ctx context.Context, resp response, err error) outcome {
	switch {
	case err == nil || resp.status == http.StatusNotFound || resp.status == http.StatusTooManyRequests:
		return succeeded
	case resp.status == 0 && ctx.Err() != nil:
		return abandoned
	default:
		return failed
	}
}
