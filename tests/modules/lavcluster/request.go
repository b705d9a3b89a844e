package lavcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/fake/services/lavload"
)

// Kind is the kind of a caller's request.
type Kind string

// The request kinds. Chat and Stream go to model engines, Submit and Status to plain services.
const (
	Chat   Kind = "chat"
	Stream Kind = "stream"
	// Submit is not idempotent: it may run at most once.
	Submit Kind = "submit"
	// Status is idempotent.
	Status Kind = "status"
)

// Request is a request of a caller. All attempts with the same ID use the same idempotency key.
type Request struct {
	ID      lavid.RequestID
	Account lavid.AccountID
	Session lavid.SessionID
	Kind    Kind
	// Body, if set, is read in place of Bytes and must yield the same bytes.
	Body io.Reader
	// Timeout is how long the caller waits for the reply; zero means defaultTimeout.
	Timeout time.Duration
}

const (
	defaultTimeout = 15 * time.Second
	maxAnswerBytes = 16 << 20
)

// requestNumber is the number in the last ID that NewRequestID returned.
var requestNumber atomic.Uint64

// NewRequestID returns an ID that is unique within this process.
func NewRequestID(prefix string) lavid.RequestID {
	return lavid.RequestID(fmt.Sprintf("%s-%d", prefix, requestNumber.Add(1)))
}

// Reply is the outcome of one attempt of a request, as the caller sees it.
type Reply struct {
	Request  Request
	Entry    string
	Sent     time.Time
	Answered time.Time
	// Status is the HTTP status code, or zero if no response arrived.
	Status   int
	RunState laverror.RunState
	Kind     laverror.Kind
	Version  lavid.VersionID
	Body     []byte
	// Err is the connection error or the reason why the answer is incomplete.
	Err error
	// Corrupt means that the connection ended normally after status 200 but the content of the answer is wrong.
	Corrupt bool
}

// IsComplete reports whether the reply is a complete and correct answer to its request.
func (r Reply) IsComplete() bool {
	return r.Status == http.StatusOK && r.Err == nil
}

// String describes the reply in one line.
func (r Reply) String() string {
	return fmt.Sprintf("%s %s at %s: status %d, %s, %s, version %s, error %v, after %s",
		r.Request.Kind, r.Request.ID, r.Entry, r.Status, r.RunState, r.Kind, r.Version, r.Err, r.Answered.Sub(r.Sent).Round(time.Millisecond))
}

// Text returns the prompt or body of the request, from which the expected answer is derived.
func (r Request) Text() string {
	return "text of " + string(r.ID)
}

// Bytes returns the body of the request.
func (r Request) Bytes() []byte {
	switch r.Kind {
	case Chat, Stream:
		return lavload.ChatBody("auto", r.Text(), r.Kind == Stream)
	default:
		return []byte(r.Text())
	}
}

func (r Request) path() string {
	switch r.Kind {
	case Submit:
		return PathSubmit
	case Status:
		return PathStatus
	default:
		return "/v1/chat/completions"
	}
}

// checkAnswer returns an error unless the body is the complete answer to the request.
func (r Request) checkAnswer(body []byte) error {
	switch r.Kind {
	case Chat:
		return lavload.CheckChat(body, r.Text())
	case Stream:
		return lavload.CheckStream(body, r.Text())
	default:
		return lavload.CheckService(body, r.Text())
	}
}

// Send sends a request to an entry host over a new connection and reads the reply.
func (c *Cluster) Send(ctx context.Context, entry string, request Request) Reply {
	timeout := request.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply := Reply{Request: request, Entry: entry, Sent: time.Now()}
	c.exchange(ctx, &reply)
	reply.Answered = time.Now()
	return reply
}

// exchange sends the request of the reply and fills in the response.
func (c *Cluster) exchange(ctx context.Context, reply *Reply) {
	request := reply.Request
	body := request.Body
	if body == nil {
		body = bytes.NewReader(request.Bytes())
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(HopCallers, reply.Entry)+request.path(), body)
	if err != nil {
		reply.Err = err
		return
	}
	httpRequest.ContentLength = int64(len(request.Bytes()))
	httpRequest.Header.Set("Authorization", "Bearer "+CallerKey(request.Account))
	httpRequest.Header.Set("Idempotency-Key", string(request.ID))
	if request.Session != "" {
		httpRequest.Header.Set("Lavender-Session", string(request.Session))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(httpRequest)
	if err != nil {
		reply.Err = err
		return
	}
	defer response.Body.Close()
	reply.Status = response.StatusCode
	reply.Version = lavid.VersionID(response.Header.Get("Lavender-Version"))
	reply.RunState = laverror.RunState(response.Header.Get(lavhttp.HeaderRunState))
	reply.Body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	reply.classify(err)
}

// classify sets Err and Corrupt of a read reply, or the fields of an error reply. A stream that ends with an error event is
// incomplete but not corrupt.
func (r *Reply) classify(readErr error) {
	if readErr != nil {
		r.Err = errors.Wrap(readErr, "connection ended before the answer was complete")
		return
	}
	if r.Status != http.StatusOK {
		r.readError(r.Body)
		return
	}
	r.Err = r.Request.checkAnswer(r.Body)
	if errors.Is(r.Err, lavload.ErrStreamRefused) {
		return
	}
	r.Corrupt = r.Err != nil
}

// readError sets the error kind and the run state from the body of an error reply.
func (r *Reply) readError(body []byte) {
	var detail lavhttp.ErrorBody
	if json.Unmarshal(body, &detail) != nil {
		return
	}
	r.Kind = detail.Error.Code
	r.RunState = detail.Error.RunState
}
