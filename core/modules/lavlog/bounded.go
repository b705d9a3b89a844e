package lavlog

import (
	"io"

	"github.com/sirupsen/logrus"
)

// BoundedLogger is a log of a bounded number of lines a second that never waits for its reader.
type BoundedLogger struct {
	*logrus.Logger
	writer    *AsyncWriter
	formatter *RateLimitFormatter
}

// NewBoundedLogger returns a log to w of the lines of a host from a level on; Close writes what is queued.
func NewBoundedLogger(w io.Writer, level, host string) (*BoundedLogger, error) {
	writer, formatter := NewAsyncWriter(w), NewRateLimitFormatter(host)
	logger, err := New(writer, level)
	if err != nil {
		writer.Close()
		return nil, err
	}
	logger.SetFormatter(formatter)
	return &BoundedLogger{Logger: logger, writer: writer, formatter: formatter}, nil
}

// OverBudget returns the number of lines left out because there were too many of one message.
func (b *BoundedLogger) OverBudget() int64 { return b.formatter.Skipped() }

// Dropped returns the number of lines dropped because nobody read them.
func (b *BoundedLogger) Dropped() int64 { return b.writer.Dropped() }

// Close writes what is queued; nothing may be logged any more.
func (b *BoundedLogger) Close() { b.writer.Close() }
