package lavrequest

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// Request is an accepted request of a caller.
type Request struct {
	ID      lavid.RequestID
	Account lavid.AccountID
	Session lavid.SessionID
	// FirstTurn states that the session was derived from a conversation that has no answer yet.
	FirstTurn bool
	// ModelName is the model as named by the caller. Class is the task class, which is empty if none was stated.
	ModelName string
	Class     lavid.TaskClass
	// Model and Version restrict the choice of versions; both are empty for a plain service.
	Model   lavid.ModelID
	Version lavid.VersionID
	// Service and Call name the call of a plain service; both are empty for a model.
	Service lavid.ServiceID
	Call    lavid.CallID
	// Idempotent states that the request may run more than once.
	Idempotent bool
	Stream     bool
	// IncludeUsage states that the caller asked for the usage event of a stream.
	IncludeUsage bool
	// SessionMoved states that the session was moved to another version.
	SessionMoved bool
	Method       string
	Path         string
	ContentType  string
	Body         []byte
	// Fingerprint is the hash of the body as sent by the caller; an idempotency key may not be reused with another one.
	Fingerprint uint64
	// EstimatedTokens is the estimated sum of prompt and answer.
	EstimatedTokens lavid.Tokens
	Arrived         time.Time
	Deadline        time.Time
	// TimeoutStated states that the caller set a timeout, so that the request may wait in a queue until its deadline.
	TimeoutStated bool
}

// Head is the head of an answer.
type Head struct {
	StatusCode  int
	ContentType string
	Version     lavid.VersionID
	// Stored states that the answer was stored by an earlier attempt of the same request.
	Stored bool
}

// Usage is the number of tokens counted by the backend server.
type Usage struct {
	InputTokens  lavid.Tokens
	OutputTokens lavid.Tokens
}

// Sink receives an answer as it arrives: first its head, then chunks of its body.
type Sink interface {
	Head(head Head) error
	Chunk(data []byte) error
}

// StartReporter is a Sink that can report whether bytes of the answer have reached the caller.
type StartReporter interface {
	Started() bool
}

// BufferedAnswer is a Sink that buffers the whole answer.
type BufferedAnswer struct {
	AnswerHead Head
	Body       []byte
}

// Head stores the head.
func (b *BufferedAnswer) Head(head Head) error {
	b.AnswerHead = head
	return nil
}

// Chunk appends data to the body.
func (b *BufferedAnswer) Chunk(data []byte) error {
	b.Body = append(b.Body, data...)
	return nil
}

// Replay writes the buffered answer to another sink.
func (b *BufferedAnswer) Replay(sink Sink) error {
	if err := sink.Head(b.AnswerHead); err != nil {
		return err
	}
	return sink.Chunk(b.Body)
}
