package lavlog

import (
	"io"

	"github.com/sirupsen/logrus"
)

// BoundedLogger is a logger with a limited number of lines of each message per second. It never blocks on a slow writer.
type BoundedLogger struct {
	*logrus.Logger
	writer    *AsyncWriter
	formatter *RateLimitFormatter
}

// NewBoundedLogger returns a logger that writes the lines of a host with at least the given level to w.
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

// Skipped returns the number of lines that were omitted by the rate limit of their message.
func (b *BoundedLogger) Skipped() int64 { return b.formatter.Skipped() }

// Dropped returns the number of lines that were dropped because the queue was full or writing failed.
func (b *BoundedLogger) Dropped() int64 { return b.writer.Dropped() }

// Close writes the queued lines. Nothing may be logged afterwards.
func (b *BoundedLogger) Close() { b.writer.Close() }
