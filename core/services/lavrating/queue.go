package lavrating

import (
	"slices"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavevidence"
)

// Item is a delivered answer that waits to be rated.
type Item struct {
	Request lavid.RequestID
	Account lavid.AccountID
	Key     lavevidence.Key
	Prompt  []byte
	Answer  []byte
	// Due is when the rating may be asked for.
	Due   time.Time
	Tries int
}

// QueueSettings are the bounds of a queue.
type QueueSettings struct {
	MaxItems int
	MaxBytes int
	// MaxAge is how long after delivery a rating is still asked for.
	MaxAge   time.Duration
	MaxTries int
	// RetryDelay is the delay before the second try; it doubles with each.
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

// Queue keeps answers until they are rated; what it drops stays unrated.
type Queue struct {
	settings QueueSettings

	mu      sync.Mutex
	items   []queuedItem
	bytes   int
	dropped uint64
}

type queuedItem struct {
	Item
	added time.Time
}

// NewQueue returns an empty queue.
func NewQueue(settings QueueSettings) *Queue {
	return &Queue{settings: settings}
}

// Put adds an answer without waiting, and tells whether there was room.
func (q *Queue) Put(item Item, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.put(queuedItem{Item: item, added: now})
}

// Take removes and returns up to limit answers that are due, oldest first.
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

// Requeue puts an answer back whose rating failed, to be tried again later, and tells whether it will be.
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

func (i Item) size() int {
	return len(i.Prompt) + len(i.Answer)
}

// QueueDump is the part of the state dump about later ratings.
type QueueDump struct {
	Waiting int
	Bytes   int
	Dropped uint64
}

// Dump returns the size of the queue, for the state dump.
func (q *Queue) Dump() QueueDump {
	q.mu.Lock()
	defer q.mu.Unlock()
	return QueueDump{Waiting: len(q.items), Bytes: q.bytes, Dropped: q.dropped}
}
