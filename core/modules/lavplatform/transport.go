package lavplatform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

const (
	// maxReplyBytes limits one reply; the rest of a larger one is not read.
	maxReplyBytes = 64 << 20
	// callTimeout bounds one call, including a hedged one.
	callTimeout = 3 * time.Second
	// hedgeDelay is how long a call waits for a response before it is repeated over a new connection.
	hedgeDelay      = 900 * time.Millisecond
	connectTimeout  = 800 * time.Millisecond
	idleConnections = 16
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
)

// request is one request to the platform.
type request struct {
	method string
	// path is the path and the query. Client puts the base URL in front of it before the transport sends the request.
	path string
	body []byte
}

// response is the platform's reply.
type response struct {
	// status is the HTTP status, or zero if there was no complete reply.
	status     int
	body       []byte
	retryAfter time.Duration
}

// transport sends requests over pooled connections. If a pooled connection does not respond, it hedges the request over a
// new connection.
type transport struct {
	pooled   *http.Client
	unpooled *http.Client
}

func newTransport() *transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	pooled := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout}
	unpooled := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &transport{pooled: &http.Client{Transport: pooled}, unpooled: &http.Client{Transport: unpooled}}
}

// sendResult is the result of the first or the hedged request.
type sendResult struct {
	resp   response
	err    error
	hedged bool
}

// send sends a request and repeats it over a new connection if the first one fails or does not respond within hedgeDelay.
// It returns the first response.
//
// Repeating is safe: a write carries its writer id, and a repeat by the same writer changes nothing.
func (t *transport) send(ctx context.Context, req request) (response, error) {
	var calls conc.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	results := make(chan sendResult, 2)
	start := func(client *http.Client, hedged bool) {
		calls.Go(func() {
			resp, err := t.sendOnce(ctx, client, req)
			results <- sendResult{resp: resp, err: err, hedged: hedged}
		})
	}
	start(t.pooled, false)
	hedgeTimer := time.NewTimer(hedgeDelay)
	defer hedgeTimer.Stop()
	hedgeSent, pending := false, 1
	for {
		select {
		case result := <-results:
			pending--
			if result.err == nil || result.resp.status != 0 || (hedgeSent && pending == 0) || ctx.Err() != nil {
				t.closeIdleAfterHedge(result)
				return result.resp, result.err
			}
		case <-hedgeTimer.C:
		}
		if !hedgeSent {
			hedgeSent = true
			pending++
			start(t.unpooled, true)
		}
	}
}

// closeIdleAfterHedge closes the idle pooled connections if the hedged request succeeded, because they may have stalled too.
func (t *transport) closeIdleAfterHedge(result sendResult) {
	if result.hedged && result.err == nil {
		t.pooled.CloseIdleConnections()
	}
}

// sendOnce sends a request over one connection.
func (t *transport) sendOnce(ctx context.Context, client *http.Client, req request) (response, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, req.method, req.path, bytes.NewReader(req.body))
	if err != nil {
		return response{}, errors.Wrap(err, "build platform request; check PlatformAddress in the settings")
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpResponse, err := client.Do(httpRequest)
	if err != nil {
		return response{}, ErrStoreUnavailable{Reason: err.Error()}
	}
	defer httpResponse.Body.Close()
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxReplyBytes))
	if err != nil {
		return response{}, ErrStoreUnavailable{Reason: err.Error()}
	}
	resp := response{status: httpResponse.StatusCode, body: data, retryAfter: retryAfter(httpResponse.Header)}
	if httpResponse.StatusCode != http.StatusOK {
		return resp, ErrStoreUnavailable{Reason: httpResponse.Status}
	}
	return resp, nil
}

// retryAfter returns the time in the Retry-After header, or one second if it is missing or not a number of seconds.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return time.Second
	}
	return time.Duration(seconds) * time.Second
}
