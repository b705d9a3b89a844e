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
	maxReplyBytes = 64 << 20
	// callTimeout bounds one call over all its connections.
	callTimeout = 3 * time.Second
	// silenceTimeout is how long a call waits before it is repeated over a new connection.
	silenceTimeout  = 900 * time.Millisecond
	connectTimeout  = 800 * time.Millisecond
	idleConnections = 16
	idleTimeout     = 30 * time.Second
)

// message is one request to the platform.
type message struct {
	method string
	path   string
	body   []byte
}

// answer is the platform's reply.
type answer struct {
	status     int
	body       []byte
	retryAfter time.Duration
}

// wire sends messages over kept connections and, when one stays silent, over a new one.
type wire struct {
	kept  *http.Client
	fresh *http.Client
}

func newWire() *wire {
	dialer := &net.Dialer{Timeout: connectTimeout}
	kept := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout}
	fresh := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	return &wire{kept: &http.Client{Transport: kept}, fresh: &http.Client{Transport: fresh}}
}

type sent struct {
	answer answer
	err    error
	fresh  bool
}

// send repeats a message over a new connection when the first stays silent or breaks, and returns the first reply.
//
// Repeating is safe: a write carries its writer, and a repeat by the same writer changes nothing.
func (w *wire) send(ctx context.Context, message message) (answer, error) {
	var calls conc.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	results := make(chan sent, 2)
	begin := func(client *http.Client, fresh bool) {
		calls.Go(func() {
			answer, err := w.once(ctx, client, message)
			results <- sent{answer: answer, err: err, fresh: fresh}
		})
	}
	begin(w.kept, false)
	silence := time.NewTimer(silenceTimeout)
	defer silence.Stop()
	repeated, waiting := false, 1
	for {
		select {
		case result := <-results:
			waiting--
			if result.err == nil || result.answer.status != 0 || (repeated && waiting == 0) || ctx.Err() != nil {
				w.dropSilent(result)
				return result.answer, result.err
			}
		case <-silence.C:
		}
		if !repeated {
			repeated = true
			waiting++
			begin(w.fresh, true)
		}
	}
}

// dropSilent closes idle kept connections after a new one answered first, for they may be silent too.
func (w *wire) dropSilent(result sent) {
	if result.fresh && result.err == nil {
		w.kept.CloseIdleConnections()
	}
}

// once sends a message over one connection.
func (w *wire) once(ctx context.Context, client *http.Client, message message) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, message.method, message.path, bytes.NewReader(message.body))
	if err != nil {
		return answer{}, errors.Wrap(err, "build platform request; check PlatformAddress in the settings")
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return answer{}, ErrStoreUnavailable{Reason: err.Error()}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return answer{}, ErrStoreUnavailable{Reason: err.Error()}
	}
	got := answer{status: response.StatusCode, body: data, retryAfter: retryAfter(response.Header)}
	if response.StatusCode != http.StatusOK {
		return got, ErrStoreUnavailable{Reason: response.Status}
	}
	return got, nil
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return time.Second
	}
	return time.Duration(seconds) * time.Second
}
