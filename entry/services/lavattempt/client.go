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
	connectTimeout  = 500 * time.Millisecond
	attachInterval  = 100 * time.Millisecond
	sealTimeout     = time.Second
	idleConnections = 64
)

// Loads takes the loads that arrive with frames.
type Loads interface {
	Record(load *lavwire.Load, now time.Time)
}

// Client sends attempts to side processes.
type Client struct {
	// SilenceTimeout is how long a stream may stay without a frame.
	SilenceTimeout time.Duration
	// AttachTimeout bounds the tries to attach again after a connection was lost.
	AttachTimeout time.Duration
	Loads         Loads

	pooled *http.Client
	// fresh opens a new connection for every call, because one that is kept may have gone silent.
	unpooled *http.Client
}

// New returns a client over the dialler and TLS settings of transport; its exported fields are set before first use.
func New(transport *http.Transport) *Client {
	pooled := transport.Clone()
	pooled.MaxIdleConnsPerHost = idleConnections
	unpooled := transport.Clone()
	unpooled.DisableKeepAlives = true
	return &Client{pooled: &http.Client{Transport: pooled}, unpooled: &http.Client{Transport: unpooled}}
}

// NewTransport returns a transport with the connect timeout between processes.
func NewTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: connectTimeout}
	return &http.Transport{DialContext: dialer.DialContext, IdleConnTimeout: time.Minute}
}

// Result is what became of an attempt.
type Result struct {
	// Refusal is nil when the answer is whole.
	Refusal *lavwire.Refusal
	Usage   lavrequest.Usage
	// Delivered counts the body bytes that the sink took.
	Delivered uint64
	// Unreachable says that the side process did not answer any more; what became of the attempt is not known.
	Unreachable bool
}

// Run sends the attempt to the side process at the base URL and copies the answer into sink.
//
// After a lost or silent connection it attaches over a new one; when the side
// process does not know the attempt it is sealed, so that "not run" is true.
// An error means that the sink failed or ctx ended.
func (c *Client) Run(ctx context.Context, base string, attempt *lavwire.Attempt, sink lavrequest.Sink) (Result, error) {
	answer := newAnswerReader(c, sink)
	err := answer.exchange(ctx, c.pooled, base+"/attempt", attempt)
	if err != nil && answer.sinkErr == nil && ctx.Err() == nil {
		err = c.reattach(ctx, base, attempt, answer)
	}
	return answer.result(ctx, err)
}

// Attach copies the answer of a running attempt of the same request into sink.
func (c *Client) Attach(ctx context.Context, base string, attempt *lavwire.Attempt, sink lavrequest.Sink) (Result, error) {
	answer := newAnswerReader(c, sink)
	return answer.result(ctx, c.reattach(ctx, base, attempt, answer))
}

// errUnreachable says that no new connection brought frames within AttachTimeout.
var errUnreachable = errors.New("side process does not answer; its attempt is in doubt")

// recover attaches over new connections until the answer ends; each that delivers bytes extends the time.
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

// seal makes an attempt that the side process does not know impossible for good.
func (c *Client) seal(ctx context.Context, base string, attempt *lavwire.Attempt, answer *answerReader) error {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
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

// Cancel tells a side process that nobody wants the answer of an idempotent attempt any more.
func (c *Client) Cancel(ctx context.Context, base string, attempt *lavwire.Attempt) error {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
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
