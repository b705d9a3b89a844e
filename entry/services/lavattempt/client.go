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
	attachPause     = 100 * time.Millisecond
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
	http          *http.Client
}

// New returns a client; its exported fields are set before first use.
func New() *Client {
	dialer := &net.Dialer{Timeout: connectTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute}
	return &Client{http: &http.Client{Transport: transport}}
}

// Result is what became of an attempt.
type Result struct {
	// Refusal is nil when the answer is whole.
	Refusal *lavwire.Refusal
	Usage   lavrequest.Usage
	// Delivered counts the body bytes that the sink took.
	Delivered uint64
}

// Run sends the attempt to the side process at address and copies the answer into sink.
//
// After a lost or silent connection it attaches again; when that fails too it
// seals the attempt, so that a refusal "not run" is true.
func (c *Client) Run(ctx context.Context, address string, attempt *lavwire.Attempt, sink lavrequest.Sink) (Result, error) {
	reading := &reading{client: c, sink: sink}
	err := reading.exchange(ctx, address+"/attempt", attempt)
	for err != nil && reading.sinkErr == nil && ctx.Err() == nil {
		err = c.recover(ctx, address, attempt, reading)
		if err != nil && reading.refusal == nil {
			return Result{Delivered: reading.offset}, err
		}
	}
	if reading.sinkErr != nil {
		return Result{Delivered: reading.offset}, errors.Wrap(reading.sinkErr, "write the answer to the caller")
	}
	if err != nil {
		return Result{Delivered: reading.offset}, errors.Wrap(err, "read the answer")
	}
	return Result{Refusal: reading.refusal, Usage: reading.usage, Delivered: reading.offset}, nil
}

// recover attaches over new connections until one delivers the rest or AttachTimeout passes, then seals.
func (c *Client) recover(ctx context.Context, address string, attempt *lavwire.Attempt, reading *reading) error {
	c.http.CloseIdleConnections()
	limited, cancel := context.WithTimeout(ctx, c.AttachTimeout)
	defer cancel()
	for limited.Err() == nil {
		attach := &lavwire.Attach{
			AttemptId: attempt.GetAttemptId(),
			RequestId: attempt.GetRequestId(),
			AccountId: attempt.GetAccountId(),
			Offset:    reading.offset,
		}
		before := reading.offset
		err := reading.exchange(limited, address+"/attach", attach)
		if err == nil && reading.refusal.GetKind() == lavwire.RefusalKind_REFUSAL_KIND_ATTEMPT_UNKNOWN {
			return c.seal(limited, address, attempt, reading)
		}
		if err == nil || reading.sinkErr != nil {
			return err
		}
		if reading.offset > before {
			return nil
		}
		pause(limited, attachPause)
	}
	return errors.New("side process cannot be reached; its attempt is in doubt")
}

func (c *Client) seal(ctx context.Context, address string, attempt *lavwire.Attempt, reading *reading) error {
	side := lavwire.NewSideProtobufClient(address, c.http)
	response, err := side.Seal(ctx, &lavwire.SealRequest{
		AttemptId: attempt.GetAttemptId(),
		RequestId: attempt.GetRequestId(),
		AccountId: attempt.GetAccountId(),
	})
	if err != nil {
		return errors.Wrap(err, "seal the attempt")
	}
	reading.refusal = &lavwire.Refusal{
		Kind:     lavwire.RefusalKind_REFUSAL_KIND_SEALED,
		RunState: response.GetRunState(),
		Remedy:   "try another backend server",
	}
	return nil
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

func (c *Client) open(ctx context.Context, url string, message proto.Message) (*http.Response, error) {
	body, err := proto.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode the attempt")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "build the attempt; check the server's SideAddress in the configuration")
	}
	request.Header.Set("Content-Type", "application/protobuf")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "send the attempt")
	}
	if response.StatusCode != http.StatusOK || response.Header.Get("Content-Type") != lavframe.ContentType {
		response.Body.Close()
		return nil, errors.Errorf("side process answered %s without frames", response.Status)
	}
	return response, nil
}
