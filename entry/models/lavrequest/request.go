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
	// Named is the model as the caller wrote it.
	Named string
	Class lavid.TaskClass
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
	// Patient says that the caller stated how long it waits, so that the request may queue until its deadline.
	Patient bool
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

// Starter is a Sink that can tell whether bytes have reached the caller.
type Starter interface {
	Started() bool
}

// Whole is a Sink that keeps the answer until it is whole.
type Whole struct {
	Start Head
	Body  []byte
}

// Head stores the head.
func (w *Whole) Head(head Head) error {
	w.Start = head
	return nil
}

// Chunk appends data.
func (w *Whole) Chunk(data []byte) error {
	w.Body = append(w.Body, data...)
	return nil
}

// Replay writes the answer to another sink.
func (w *Whole) Replay(sink Sink) error {
	if err := sink.Head(w.Start); err != nil {
		return err
	}
	return sink.Chunk(w.Body)
}
