package lavrating

import (
	"slices"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
)

// Item is a delivered answer to be rated.
type Item struct {
	Request lavid.RequestID
	Account lavid.AccountID
	Key     lavevidence.Key
	Prompt  []byte
	Answer  []byte
	// Due is the earliest time of the next try.
	Due   time.Time
	Tries int
}

// QueueSettings are the bounds of a queue.
type QueueSettings struct {
	MaxItems int
	MaxBytes int
	// MaxAge is how long an answer may wait in the queue. Requeue starts the time again.
	MaxAge   time.Duration
	MaxTries int
	// RetryDelay is the delay before the second try; it doubles with each further one.
	RetryDelay time.Duration
}

// DefaultQueueSettings returns the settings for production.
func DefaultQueueSettings() QueueSettings {
	return QueueSettings{
		MaxItems:   2000,
		MaxBytes:   16 << 20,
		MaxAge:     10 * time.Minute,
		MaxTries:   4,
		RetryDelay: time.Second,
	}
}

// Queue holds answers until they are rated. Answers that it drops stay unrated. It is safe for concurrent use.
type Queue struct {
	settings QueueSettings

	mu      sync.Mutex
	items   []queuedItem
	bytes   int
	dropped uint64
}

// queuedItem is an item and the time at which it was last added.
type queuedItem struct {
	Item
	added time.Time
}

// NewQueue returns an empty queue.
func NewQueue(settings QueueSettings) *Queue {
	return &Queue{settings: settings}
}

// Put adds an answer without blocking and reports whether the queue had room for it.
func (q *Queue) Put(item Item, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.put(queuedItem{Item: item, added: now})
}

// Take removes and returns up to limit answers that are due, in order of their addition. It first drops those
// older than MaxAge.
func (q *Queue) Take(limit int, now time.Time) []Item {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expire(now)
	var taken []Item
	q.items = slices.DeleteFunc(q.items, func(item queuedItem) bool {
		if len(taken) >= limit || item.Due.After(now) {
			return false
		}
		q.bytes -= item.size()
		taken = append(taken, item.Item)
		return true
	})
	return taken
}

// Requeue puts an answer whose rating failed back into the queue, and reports whether it did. The answer is dropped
// after MaxTries tries or if the queue is full.
func (q *Queue) Requeue(item Item, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	item.Tries++
	if item.Tries >= q.settings.MaxTries {
		q.dropped++
		return false
	}
	item.Due = now.Add(q.settings.RetryDelay << (item.Tries - 1))
	return q.put(queuedItem{Item: item, added: now})
}

// put adds an item if the bounds allow it and reports whether it did; the caller holds the lock.
func (q *Queue) put(item queuedItem) bool {
	full := len(q.items) >= q.settings.MaxItems || q.bytes+item.size() > q.settings.MaxBytes
	if full {
		q.dropped++
		return false
	}
	q.items = append(q.items, item)
	q.bytes += item.size()
	return true
}

// expire drops items older than MaxAge; the caller holds the lock.
func (q *Queue) expire(now time.Time) {
	q.items = slices.DeleteFunc(q.items, func(item queuedItem) bool {
		expired := now.Sub(item.added) > q.settings.MaxAge
		if expired {
			q.bytes -= item.size()
			q.dropped++
		}
		return expired
	})
}

// size returns the bytes of the prompt and the answer.
func (i Item) size() int {
	return len(i.Prompt) + len(i.Answer)
}

// QueueDump is the state dump of a queue. Its field names are the keys of the dump.
type QueueDump struct {
	Waiting int
	Bytes   int
	Dropped uint64
}

// Dump returns the size of the queue and the number of dropped answers, for the state dump.
func (q *Queue) Dump() QueueDump {
	q.mu.Lock()
	defer q.mu.Unlock()
	return QueueDump{Waiting: len(q.items), Bytes: q.bytes, Dropped: q.dropped}
}
