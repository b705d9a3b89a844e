package lavrequest

import (
	"time"

	"lavenderswitch/core/models/lavid"
)

// Request is one accepted request of a caller.
type Request struct {
	ID      lavid.RequestID
	Account lavid.AccountID
	Session lavid.SessionID
	// FirstTurn says that the session was derived from a conversation without an answer yet.
	FirstTurn bool
	// ModelName is the model as the caller wrote it.
	ModelName string
	Class     lavid.TaskClass
	// Model and Version limit the choice; both are empty for a plain service.
	Model   lavid.ModelID
	Version lavid.VersionID
	// Service and Call are empty for a model.
	Service lavid.ServiceID
	Call    lavid.CallID
	// Idempotent says that the work may run more than once.
	Idempotent bool
	Stream     bool
	// WantsUsage says that the caller asked for the usage event of a stream.
	WantsUsage bool
	// SessionMoved says that the session had to leave its version.
	SessionMoved    bool
	Method          string
	Path            string
	ContentType     string
	Body            []byte
	Fingerprint     uint64
	EstimatedTokens lavid.Tokens
	Arrived         time.Time
	Deadline        time.Time
	// TimeoutStated says that the caller stated how long it waits, so that the request may queue until its deadline.
	TimeoutStated bool
}

// Head starts an answer.
type Head struct {
	StatusCode  int
	ContentType string
	Version     lavid.VersionID
	Stored      bool
}

// Usage is what the backend server counted.
type Usage struct {
	InputTokens  lavid.Tokens
	OutputTokens lavid.Tokens
}

// Sink takes an answer as it arrives.
type Sink interface {
	Head(head Head) error
	Chunk(data []byte) error
}

// StartReporter is a Sink that can tell whether bytes have reached the caller.
type StartReporter interface {
	Started() bool
}

// BufferedAnswer is a Sink that keeps the answer until it is whole.
type BufferedAnswer struct {
	AnswerHead Head
	Body       []byte
}

// Head stores the head.
func (w *BufferedAnswer) Head(head Head) error {
	w.AnswerHead = head
	return nil
}

// Chunk appends data.
func (w *BufferedAnswer) Chunk(data []byte) error {
	w.Body = append(w.Body, data...)
	return nil
}

// Replay writes the answer to another sink.
func (w *BufferedAnswer) Replay(sink Sink) error {
	if err := sink.Head(w.AnswerHead); err != nil {
		return err
	}
	return sink.Chunk(w.Body)
}
