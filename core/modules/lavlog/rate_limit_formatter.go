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
	// maxTrackedMessages bounds the messages that have a budget of their own; messages are constants of the code.
	maxTrackedMessages = 512
	// leftOutMessage is the message that tells how many lines of another one were not written.
	leftOutMessage = "lines left out"
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
func (f *RateLimitFormatter) Skipped() int64 { return f.skipped.Load() }

// Format returns the entry's line, or nothing when the budget of its message is used up.
func (f *RateLimitFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	notices, allowed := f.reserve(entry)
	var lines []byte
	for _, entry := range notices {
		line, err := f.format(entry)
		if err != nil {
			return nil, err
		}
		lines = append(lines, line...)
	}
	if !allowed {
		f.skipped.Add(1)
		return lines, nil
	}
	line, err := f.format(entry)
	return append(lines, line...), err
}

// reserve uses one line of the message's budget, and returns what is to be said of the second before.
func (f *RateLimitFormatter) reserve(entry *logrus.Entry) ([]*logrus.Entry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var notices []*logrus.Entry
	if second := entry.Time.Truncate(time.Second); !second.Equal(f.second) {
		notices = f.startSecond(second, entry)
	}
	count, tracked := f.written[entry.Message]
	if !tracked && len(f.written) >= maxTrackedMessages {
		return notices, false
	}
	f.written[entry.Message] = count + 1
	return notices, count < linesPerSecond
}

// startSecond starts a second and returns what was left out in the one before.
func (f *RateLimitFormatter) startSecond(second time.Time, entry *logrus.Entry) []*logrus.Entry {
	var notices []*logrus.Entry
	for _, message := range slices.Sorted(maps.Keys(f.written)) {
		count := f.written[message]
		if count <= linesPerSecond {
			continue
		}
		notice := logrus.NewEntry(entry.Logger).WithFields(logrus.Fields{"left_out": message, "count": count - linesPerSecond})
		notice.Time, notice.Level, notice.Message = entry.Time, logrus.WarnLevel, leftOutMessage
		notices = append(notices, notice)
	}
	clear(f.written)
	f.second = second
	return notices
}

func (f *RateLimitFormatter) format(entry *logrus.Entry) ([]byte, error) {
	if f.Host != "" && entry.Data != nil {
		entry.Data[FieldHost] = f.Host
	}
	return f.JSONFormatter.Format(entry)
}
