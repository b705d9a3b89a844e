package lavforward

import (
	"context"
	"io"
	"net/http"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/models/lavserver"
)

// Part is one part of a prompt that requests can share.
type Part struct {
	ID     string
	Tokens lavid.Tokens
}

// Prompt is what a caller says of the size of its request to a model.
type Prompt struct {
	Parts []Part
	// Input is the tokens of the whole prompt.
	Input lavid.Tokens
	// MaxOutput bounds the tokens of the answer, and Hint is the caller's guess; zero when it gave none.
	MaxOutput lavid.Tokens
	Hint      lavid.Tokens
}

// Request is what a caller asks for.
type Request struct {
	ID lavid.RequestID
	// Config is the configuration that the request is served by.
	Config  lavid.ConfigNumber
	Route   *lavroute.Route
	Service *lavroute.Service
	// Account is nil on routes that need no key.
	Account *lavroute.Account
	Session lavid.SessionID
	Method  string
	// Target is the path and query as the caller wrote them.
	Target   string
	HostName string
	// Header holds the headers that go on to the backend server unchanged.
	Header http.Header
	Body   []byte
	// Model is the model that the caller named; empty leaves the choice to the system.
	Model  lavid.ModelID
	Prompt Prompt
	// LastEventID is the last event that the caller has of a stream; empty for a whole stream.
	LastEventID string
	// Arrived is when the head of the request was read, and Deadline when its answer is worth nothing any more.
	Arrived  time.Time
	Deadline time.Time
}

// Urgency is the rank of the request; zero is the most urgent.
func (r *Request) Urgency() int {
	if r.Account != nil && r.Account.HasUrgency {
		return r.Account.Urgency
	}
	return r.Route.Urgency
}

// AccountID returns the client account, or nothing on routes that need no key.
func (r *Request) AccountID() lavid.AccountID {
	if r.Account == nil {
		return ""
	}
	return r.Account.ID
}

// Dispatch is one send of a request to one backend server.
type Dispatch struct {
	*Request
	Server lavserver.Server
	// Model is the model asked for at this server.
	Model lavid.ModelID
	// ResumeAfter is the last event that was delivered so far.
	ResumeAfter string
	// Timeout is how long the server may take.
	Timeout time.Duration
	// Rank is the urgency within the engine.
	Rank int
}

// Reply is the head of a backend server's answer.
type Reply struct {
	Status int
	// Header holds the headers that go on to the caller.
	Header http.Header
	// NotRun says that the server has not run the request and never will.
	NotRun bool
	// OtherServer says that another server has the address now.
	OtherServer bool
	// ColdFor is how long the server says it stays cold.
	ColdFor time.Duration
	// Confidence is the model's own opinion of its answer from 0 to 100, if it gave one.
	Confidence    int
	HasConfidence bool
	// Signed says that the answer bears the server's proof.
	Signed bool
	// Body fails unless it was read to the end of the whole answer.
	Body io.ReadCloser
}

// Sender sends requests to backend servers and never repeats one; it fails with lavexchange.ErrExchange.
type Sender interface {
	Send(ctx context.Context, dispatch Dispatch) (*Reply, error)
}

// AnswerWriter takes what is delivered to the caller.
type AnswerWriter interface {
	// Begin sends the status and headers; length is negative when the body's is not known.
	Begin(status int, header http.Header, length int) error
	// Write sends a part of the body at once.
	Write(data []byte) error
}

// Refusal is an answer of the system's own.
type Refusal struct {
	Status int
	// RetryAfter is when the caller should come back; zero when it need not.
	RetryAfter time.Duration
	Reason     string
}

// Result is how a request ended.
type Result struct {
	// Refusal is set when the caller still has to get an answer of the system's own.
	Refusal *Refusal
	// Broken says that the answer had begun and cannot be finished.
	Broken bool
}
