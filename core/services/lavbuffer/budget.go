package lavbuffer

import (
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
)

// Stream is what the host holds for one stream. End is called once, without locks, if the stream has to end.
type Stream struct {
	Account lavid.AccountID
	End     func()

	held int64
	// behindSince is when the stream began to hold bytes.
	behindSince time.Time
	ended       bool
}

// Budget bounds the bytes that all streams hold, and those of each stream. It is safe for concurrent use.
type Budget struct {
	limit     int64
	perStream int64

	mu      sync.Mutex
	used    int64
	streams map[*Stream]bool
}

// New returns a budget of limit bytes, of which one stream may hold perStream.
func New(limit, perStream int64) *Budget {
	return &Budget{limit: limit, perStream: perStream, streams: make(map[*Stream]bool)}
}

// Room reports whether the stream may hold further bytes. If not, the host reads no more of it for now.
func (b *Budget) Room(stream *Stream, bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return stream.held+bytes <= b.perStream
}

// Take adds bytes that were read for a stream. If all streams together then hold too much, it ends streams until they do not; it
// reports whether this one goes on.
func (b *Budget) Take(stream *Stream, bytes int64, now time.Time) bool {
	ended := b.take(stream, bytes, now)
	goesOn := true
	for _, other := range ended {
		if other == stream {
			goesOn = false
		}
		other.End()
	}
	return goesOn
}

func (b *Budget) take(stream *Stream, bytes int64, now time.Time) []*Stream {
	b.mu.Lock()
	defer b.mu.Unlock()
	if stream.ended {
		return nil
	}
	if stream.held == 0 {
		stream.behindSince = now
	}
	stream.held += bytes
	b.used += bytes
	b.streams[stream] = true
	var ended []*Stream
	for b.used > b.limit {
		victim := b.slowest()
		if victim == nil {
			break
		}
		b.forget(victim)
		victim.ended = true
		ended = append(ended, victim)
	}
	return ended
}

// slowest returns the stream that has been behind for the longest time, of the account that holds the most; nil without streams.
// The caller holds the mutex.
func (b *Budget) slowest() *Stream {
	held := make(map[lavid.AccountID]int64)
	for stream := range b.streams {
		held[stream.Account] += stream.held
	}
	var slowest *Stream
	for stream := range b.streams {
		switch {
		case slowest == nil, held[stream.Account] > held[slowest.Account]:
			slowest = stream
		case held[stream.Account] == held[slowest.Account] && stream.behindSince.Before(slowest.behindSince):
			slowest = stream
		}
	}
	return slowest
}

// Return takes bytes off that the caller of a stream has read.
func (b *Budget) Return(stream *Stream, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if stream.ended {
		return
	}
	bytes = min(bytes, stream.held)
	stream.held -= bytes
	b.used -= bytes
	if stream.held == 0 {
		delete(b.streams, stream)
	}
}

// Release takes off all that a stream holds.
func (b *Budget) Release(stream *Stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forget(stream)
}

// forget takes off all that a stream holds; the caller holds the mutex.
func (b *Budget) forget(stream *Stream) {
	b.used -= stream.held
	stream.held = 0
	delete(b.streams, stream)
}

// Held returns the bytes that all streams hold.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}
