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

// The kinds of requests.
const (
	Chat   Kind = "chat"
	Stream Kind = "stream"
	// Submit runs at most once.
	Submit Kind = "submit"
	// Status may be repeated.
	Status Kind = "status"
)

// Request is one request of a caller.
type Request struct {
	ID      lavid.RequestID
	Account lavid.AccountID
	Session lavid.SessionID
	Kind    Kind
	// Body replaces the whole body by a reader of the same bytes.
	Body io.Reader
	// Patience is how long the caller waits; zero means defaultPatience.
	Timeout time.Duration
}

const (
	defaultTimeout = 15 * time.Second
	maxAnswerBytes = 16 << 20
)

var requestNumber atomic.Uint64

// NewRequestID returns an id that no other request of this test run has.
func NewRequestID(prefix string) lavid.RequestID {
	return lavid.RequestID(fmt.Sprintf("%s-%d", prefix, requestNumber.Add(1)))
}

// Reply is what a caller learned of one try of a request.
type Reply struct {
	Request  Request
	Entry    string
	Sent     time.Time
	Answered time.Time
	// Status is zero when the connection gave none.
	Status   int
	RunState laverror.RunState
	Kind     laverror.Kind
	Version  lavid.VersionID
	Body     []byte
	// Err says that the connection failed, or why the answer is not whole.
	Err error
	// Broken says that an answer was given as whole and is not.
	Corrupt bool
}

// Whole tells whether the reply is the whole answer to its request.
func (r Reply) IsComplete() bool {
	return r.Status == http.StatusOK && r.Err == nil
}

// String describes the reply in one line.
func (r Reply) String() string {
	return fmt.Sprintf("%s %s at %s: status %d, %s, %s, version %s, error %v, after %s",
		r.Request.Kind, r.Request.ID, r.Entry, r.Status, r.RunState, r.Kind, r.Version, r.Err, r.Answered.Sub(r.Sent).Round(time.Millisecond))
}

// Text returns the prompt or body of the request, which its answer must match.
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

// Send sends a request to an entry host over a new connection and reads its reply.
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

func (c *Cluster) exchange(ctx context.Context, reply *Reply) {
	request := reply.Request
	body := request.Body
	if body == nil {
		body = bytes.NewReader(request.Bytes())
	}
	sent, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(HopCallers, reply.Entry)+request.path(), body)
	if err != nil {
		reply.Err = err
		return
	}
	sent.ContentLength = int64(len(request.Bytes()))
	sent.Header.Set("Authorization", "Bearer "+CallerKey(request.Account))
	sent.Header.Set("Idempotency-Key", string(request.ID))
	if request.Session != "" {
		sent.Header.Set("Lavender-Session", string(request.Session))
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(sent)
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

// judge decides whether the answer is whole, an explicit error, or broken.
func (r *Reply) classify(readErr error) {
	if readErr != nil {
		r.Err = errors.Wrap(readErr, "connection ended within the answer")
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

func (r *Reply) readError(body []byte) {
	var detail lavhttp.ErrorBody
	if json.Unmarshal(body, &detail) != nil {
		return
	}
	r.Kind = detail.Error.Code
	r.RunState = detail.Error.RunState
}
