package lavforward

import (
	"context"
	"io"
	"net/http"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavnotice"
	"lavenderswitch/core/services/lavquarantine"
)

// Part is one part of a prompt, identified so that requests with the same part can share its cache.
type Part struct {
	ID     string
	Tokens lavid.Tokens
}

// Prompt holds the sizes that the caller states for a request to a model.
type Prompt struct {
	Parts []Part
	// Input is the number of tokens of the whole prompt.
	Input lavid.Tokens
	// MaxOutput is the largest number of tokens of the answer, and Hint the caller's estimate of it; zero means not stated.
	MaxOutput lavid.Tokens
	Hint      lavid.Tokens
}

// Request is a caller's request.
type Request struct {
	ID lavid.RequestID
	// Config is the number of the configuration under which the request is served.
	Config  lavid.ConfigNumber
	Route   *lavroute.Route
	Service *lavroute.Service
	// Account is nil on routes that need no key.
	Account *lavroute.Account
	Session lavid.SessionID
	Method  string
	// Target is the path and query as sent by the caller, and HostName the value of its Host header.
	Target   string
	HostName string
	// Header holds the headers that are forwarded unchanged to the backend server.
	Header http.Header
	Body   []byte
	// Model is the model named by the caller; if it is empty, the model is chosen from the route's list.
	Model  lavid.ModelID
	Prompt Prompt
	// LastEventID is the last event of the stream that the caller has received; it is empty for a stream from its start.
	LastEventID string
	// Arrived is when the head of the request was read. Deadline is when the caller no longer needs the answer.
	Arrived  time.Time
	Deadline time.Time
}

// Urgency returns the urgency of the request; zero is the most urgent.
func (r *Request) Urgency() int {
	if r.Account != nil && r.Account.HasUrgency {
		return r.Account.Urgency
	}
	return r.Route.Urgency
}

// hasModel reports whether every server of the service should have the model that the caller names, or whether it names none.
// Plain services have no models.
func (r *Request) hasModel() bool {
	if r.Service.Engine == nil || r.Model == "" {
		return true
	}
	return len(r.Route.Models) > 0 && r.Route.HasModel(r.Model) || r.Service.HasModel(r.Model)
}

// AccountID returns the client account, or an empty ID on routes that need no key.
func (r *Request) AccountID() lavid.AccountID {
	if r.Account == nil {
		return ""
	}
	return r.Account.ID
}

// keys returns the keys of the request: that of the whole request, which is the same for each try of a caller, and those of the
// parts of the prompt that other requests may share. The last part is the request's own. A plain service reads no prompt.
func (r *Request) keys() lavquarantine.Keys {
	keys := lavquarantine.Keys{Request: lavquarantine.KeyOfRequest(r.Body, r.Method, r.HostName, r.Target, string(r.AccountID()))}
	if r.Service.Engine == nil && r.Route.Kind != lavroute.Streaming {
		return keys
	}
	for _, part := range r.Prompt.Parts[:max(len(r.Prompt.Parts)-1, 0)] {
		keys.Parts = append(keys.Parts, lavquarantine.KeyOf(part.ID))
	}
	return keys
}

// Dispatch is one send of a request to one backend server.
type Dispatch struct {
	*Request
	Server lavserver.Server
	// Model is the model requested from this server.
	Model lavid.ModelID
	// ResumeAfter is the ID of the last event that the caller has received; the server continues after it.
	ResumeAfter string
	// Timeout is the time that the server has to answer.
	Timeout time.Duration
	// Rank is the priority within the engine; lower ranks run first.
	Rank int
	// MaySend is called once a connection to the server is open and reports whether the server may still take the request.
	// If not, nothing is sent.
	MaySend func() bool
}

// Reply is the head of a backend server's answer.
type Reply struct {
	Status int
	// Header holds the headers that are forwarded to the caller.
	Header http.Header
	// NotRun states that the server has not run the request and never will.
	NotRun bool
	// OtherServer states that the address seems to belong to a server with another ID now, and OtherStated that the answer names that
	// server. A server also refuses a request for a model that it does not have as if it were meant for another one.
	OtherServer bool
	OtherStated bool
	// Leaving states that the server takes no more requests, also of other hosts, than those that it has.
	Leaving bool
	// Pause is how long the server asks this host to send it nothing; zero if it does not.
	Pause time.Duration
	// BadPause is the text of a pause that cannot be read.
	BadPause string
	// Limit is what the server takes from all hosts together, and BadLimit the text of a limit that cannot be read.
	Limit    lavnotice.Limit
	BadLimit string
	// ColdFor is how long the server reports that it will stay cold.
	ColdFor time.Duration
	// Confidence is the model's self-reported confidence in its answer, from 0 to 100; it is valid only if HasConfidence is
	// set.
	Confidence    int
	HasConfidence bool
	// Signed states that the answer carries the server's signature.
	Signed bool
	// Body returns an error instead of io.EOF when the answer is truncated.
	Body io.ReadCloser
}

// Sender sends a request once to a backend server, without repeats; it fails with lavexchange.ErrExchange.
type Sender interface {
	Send(ctx context.Context, dispatch Dispatch) (*Reply, error)
}

// AnswerWriter writes an answer to the caller.
type AnswerWriter interface {
	// Begin writes the status and headers; a negative length means that the length of the body is unknown.
	Begin(status int, header http.Header, length int) error
	// Write writes a part of the body without buffering it.
	Write(data []byte) error
	// Abort makes the current and all further writes fail. It may be called while another goroutine writes.
	Abort()
}

// Refusal is an answer that this host gives instead of one from a backend server.
type Refusal struct {
	Status int
	// RetryAfter is the delay after which the caller should retry; zero means none.
	RetryAfter time.Duration
	Reason     string
}

// Result is how a request ended.
type Result struct {
	// Refusal is set when no answer was begun and the caller must get this refusal.
	Refusal *Refusal
	// Broken states that the answer was begun but not completed.
	Broken bool
}
