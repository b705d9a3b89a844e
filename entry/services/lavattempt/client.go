package lavattempt

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"lavenderswitch/core/modules/lavframe"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/wire/lavwire"
)

const (
	connectTimeout = 500 * time.Millisecond
	// attachInterval is the time between two attempts to attach.
	attachInterval = 100 * time.Millisecond
	// sideCallTimeout limits a seal and a cancel.
	sideCallTimeout = time.Second
	// maxIdleConnections is the number of idle connections kept per side process.
	maxIdleConnections = 64
)

// Loads records the loads reported in frames.
type Loads interface {
	Record(load *lavwire.Load, now time.Time)
}

// Client sends attempts to side processes; it is safe for concurrent use.
type Client struct {
	// SilenceTimeout is how long a connection may stay without a frame before it counts as lost.
	SilenceTimeout time.Duration
	// AttachTimeout limits the time for reattaching after a lost connection. Each connection that delivers frames restarts
	// it.
	AttachTimeout time.Duration
	Loads         Loads

	pooled *http.Client
	// unpooled opens a new connection for every call, because a kept connection may no longer respond.
	unpooled *http.Client
}

// New returns a client that uses the dialer and TLS settings of transport. Set its exported fields before first use.
func New(transport *http.Transport) *Client {
	pooled := transport.Clone()
	pooled.MaxIdleConnsPerHost = maxIdleConnections
	unpooled := transport.Clone()
	unpooled.DisableKeepAlives = true
	return &Client{pooled: &http.Client{Transport: pooled}, unpooled: &http.Client{Transport: unpooled}}
}

// NewTransport returns a transport with the connect timeout for connections between processes.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: time.Minute}
}

// Result is the result of an attempt.
type Result struct {
	// Refusal is the refusal of the side process. The answer is complete if Refusal is nil and Unreachable is false.
	Refusal *lavwire.Refusal
	Usage   lavrequest.Usage
	// Delivered counts the body bytes that the sink received.
	Delivered uint64
	// Unreachable states that no connection delivered a complete answer; whether the attempt ran is unknown.
	Unreachable bool
}

// Run sends the attempt to the side process at the base URL and writes the answer to sink.
//
// If the connection is lost or silent, it attaches to the attempt over a new one. If the side process does not have the
// attempt, Run asks it to seal the attempt, so that the attempt can never run later. An error means that the sink failed
// or ctx ended.
func (c *Client) Run(ctx context.Context, base string, attempt *lavwire.Attempt, sink lavrequest.Sink) (Result, error) {
	answer := newAnswerReader(c, sink)
	err := answer.exchange(ctx, c.pooled, base+"/attempt", attempt)
	if err != nil && answer.sinkErr == nil && ctx.Err() == nil {
		err = c.reattach(ctx, base, attempt, answer)
	}
	return answer.result(ctx, err)
}

// Attach writes the answer of a running attempt of the same request to sink.
func (c *Client) Attach(ctx context.Context, base string, attempt *lavwire.Attempt, sink lavrequest.Sink) (Result, error) {
	answer := newAnswerReader(c, sink)
	return answer.result(ctx, c.reattach(ctx, base, attempt, answer))
}

// errUnreachable states that no new connection delivered a complete answer within AttachTimeout.
var errUnreachable = errors.New("side process does not answer; its attempt is in doubt")

// reattach attaches over new connections until the answer ends or AttachTimeout has passed.
func (c *Client) reattach(ctx context.Context, base string, attempt *lavwire.Attempt, answer *answerReader) error {
	deadline := time.Now().Add(c.AttachTimeout)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		before := answer.frameCount
		err := c.attachOnce(ctx, base, attempt, answer)
		if err == nil || answer.sinkErr != nil {
			return err
		}
		if answer.frameCount > before {
			deadline = time.Now().Add(c.AttachTimeout)
		}
		pause(ctx, attachInterval)
	}
	return errUnreachable
}

func (c *Client) attachOnce(ctx context.Context, base string, attempt *lavwire.Attempt, answer *answerReader) error {
	attach := &lavwire.Attach{
		AttemptId: attempt.GetAttemptId(),
		RequestId: attempt.GetRequestId(),
		AccountId: attempt.GetAccountId(),
		Offset:    answer.offset,
		VersionId: attempt.GetVersionId(),
		Stream:    attempt.GetStream(),
	}
	if err := answer.exchange(ctx, c.unpooled, base+"/attach", attach); err != nil {
		return err
	}
	if answer.refusal.GetKind() != lavwire.RefusalKind_REFUSAL_KIND_ATTEMPT_UNKNOWN {
		return nil
	}
	return c.seal(ctx, base, attempt, answer)
}

// seal asks the side process to seal an attempt that it does not have, so that the attempt can never run.
func (c *Client) seal(ctx context.Context, base string, attempt *lavwire.Attempt, answer *answerReader) error {
	ctx, cancel := context.WithTimeout(ctx, sideCallTimeout)
	defer cancel()
	side := lavwire.NewSideProtobufClient(base, c.unpooled)
	response, err := side.Seal(ctx, &lavwire.SealRequest{
		AttemptId:     attempt.GetAttemptId(),
		RequestId:     attempt.GetRequestId(),
		AccountId:     attempt.GetAccountId(),
		Idempotent:    attempt.GetIdempotent(),
		SentAgeMillis: time.Since(answer.sentAt).Milliseconds(),
	})
	if err != nil {
		return errors.Wrap(err, "seal the attempt")
	}
	answer.refusal = &lavwire.Refusal{
		Kind:     lavwire.RefusalKind_REFUSAL_KIND_SEALED,
		RunState: response.GetRunState(),
		Remedy:   "try another backend server",
	}
	return nil
}

// Cancel cancels an idempotent attempt whose answer is no longer needed.
func (c *Client) Cancel(ctx context.Context, base string, attempt *lavwire.Attempt) error {
	ctx, cancel := context.WithTimeout(ctx, sideCallTimeout)
	defer cancel()
	side := lavwire.NewSideProtobufClient(base, c.pooled)
	_, err := side.Cancel(ctx, &lavwire.CancelRequest{AttemptId: attempt.GetAttemptId()})
	return errors.Wrap(err, "cancel the attempt")
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

func post(ctx context.Context, client *http.Client, url string, message proto.Message) (*http.Response, error) {
	body, err := proto.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode the attempt")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build the attempt; check the server's SideAddress in the configuration")
	}
	request.Header.Set("Content-Type", "application/protobuf")
	response, err := client.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "send the attempt")
	}
	if response.StatusCode != http.StatusOK || response.Header.Get("Content-Type") != lavframe.ContentType {
		response.Body.Close()
		return nil, errors.Errorf("side process answered %s without frames", response.Status)
	}
	return response, nil
}
