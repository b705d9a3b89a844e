package lavlog

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// linesPerSecond bounds the lines of one message in a second; a host at its full rate of requests stays below it.
	linesPerSecond = 100
	// budgetMessages bounds the messages that have a budget of their own; messages are constants of the code.
	budgetMessages = 512
	// leftOut is the message that tells how many lines of another one were not written.
	leftOut = "lines left out"
)

// RateLimitFormatter is a formatter of JSON lines that writes a bounded number of lines of each message in a second, so that common
// lines never crowd out rare ones; what it leaves out it counts and says in the next second.
type RateLimitFormatter struct {
	logrus.JSONFormatter
	// Host stands in each line.
	Host string

	mu      sync.Mutex
	second  time.Time
	written map[string]int
	skipped atomic.Int64
}

// NewRateLimitFormatter returns a formatter for the lines of a host.
func NewRateLimitFormatter(host string) *RateLimitFormatter {
	return &RateLimitFormatter{
		JSONFormatter: logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"},
		Host:          host,
		written:       make(map[string]int),
	}
}

// Skipped returns the number of lines that were left out.
func (b *RateLimitFormatter) Skipped() int64 { return b.skipped.Load() }

// Format returns the entry's line, or nothing when the budget of its message is used up.
func (b *RateLimitFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	said, allowed := b.take(entry)
	var lines []byte
	for _, entry := range said {
		line, err := b.line(entry)
		if err != nil {
			return nil, err
		}
		lines = append(lines, line...)
	}
	if !allowed {
		b.skipped.Add(1)
		return lines, nil
	}
	line, err := b.line(entry)
	return append(lines, line...), err
}

// take uses one line of the message's budget, and returns what is to be said of the second before.
func (b *RateLimitFormatter) take(entry *logrus.Entry) ([]*logrus.Entry, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var said []*logrus.Entry
	if second := entry.Time.Truncate(time.Second); !second.Equal(b.second) {
		said = b.begin(second, entry)
	}
	count, known := b.written[entry.Message]
	if !known && len(b.written) >= budgetMessages {
		return said, false
	}
	b.written[entry.Message] = count + 1
	return said, count < linesPerSecond
}

// begin starts a second and returns what was left out in the one before.
func (b *RateLimitFormatter) begin(second time.Time, entry *logrus.Entry) []*logrus.Entry {
	var said []*logrus.Entry
	for _, message := range slices.Sorted(maps.Keys(b.written)) {
		count := b.written[message]
		if count <= linesPerSecond {
			continue
		}
		line := logrus.NewEntry(entry.Logger).WithFields(logrus.Fields{"left_out": message, "count": count - linesPerSecond})
		line.Time, line.Level, line.Message = entry.Time, logrus.WarnLevel, leftOut
		said = append(said, line)
	}
	clear(b.written)
	b.second = second
	return said
}

func (b *RateLimitFormatter) line(entry *logrus.Entry) ([]byte, error) {
	if b.Host != "" && entry.Data != nil {
		entry.Data[FieldHost] = b.Host
	}
	return b.JSONFormatter.Format(entry)
}
