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
	// linesPerSecond is the maximum number of lines of one message per second. A host at its full request rate stays below.
	linesPerSecond = 100
	// maxTrackedMessages is the maximum number of distinct messages in a second; lines of further messages are omitted
	// and only counted. Messages are constants of the code.
	maxTrackedMessages = 512
	// leftOutMessage is the message of the line that reports how many lines of another message were omitted.
	leftOutMessage = "lines left out"
)

// RateLimitFormatter formats log entries as JSON and limits the lines of each message per second, so that frequent messages
// do not suppress rare ones. It counts the omitted lines and reports them in the next second that has a line.
type RateLimitFormatter struct {
	logrus.JSONFormatter
	// Host is the host id added to each line.
	Host string

	mu sync.Mutex
	// second is the start of the second whose lines are counted.
	second time.Time
	// written counts the lines of each message in this second, including omitted ones.
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

// Skipped returns the number of omitted lines.
func (f *RateLimitFormatter) Skipped() int64 { return f.skipped.Load() }

// Format returns the line of an entry, or no line if the limit of its message is reached. It prepends the lines that
// report omissions of the previous second.
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

// reserve counts one line of the entry's message and reports whether it may be written. At the start of a second it also
// returns the entries that report the omissions of the previous one.
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

// startSecond resets the counts and returns an entry for each message that exceeded its limit.
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

// format returns the JSON line of an entry, with the host id.
func (f *RateLimitFormatter) format(entry *logrus.Entry) ([]byte, error) {
	if f.Host != "" && entry.Data != nil {
		entry.Data[FieldHost] = f.Host
	}
	return f.JSONFormatter.Format(entry)
}
