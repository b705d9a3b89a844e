package lavlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestLogger(out *bytes.Buffer) (*logrus.Logger, *RateLimitFormatter) {
	formatter := NewRateLimitFormatter("host-1")
	log := logrus.New()
	log.SetFormatter(formatter)
	log.SetOutput(out)
	return log, formatter
}

// TestFrequentMessageDoesNotSuppressRareOne guards against a limit for all messages together, with which a frequent message
// would suppress a rare warning.
func TestFrequentMessageDoesNotSuppressRareOne(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, formatter := newTestLogger(&out)
	for range 10 * linesPerSecond {
		log.WithTime(start).Info("answered")
	}
	log.WithTime(start).Warn("store lost")
	is.Equal(strings.Count(out.String(), "answered"), linesPerSecond)
	is.Equal(strings.Count(out.String(), "store lost"), 1)
	is.Equal(formatter.Skipped(), int64(9*linesPerSecond))
}

// TestOmittedLinesAreReportedInNextSecond guards against lines that are omitted without a trace in the log.
func TestOmittedLinesAreReportedInNextSecond(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, _ := newTestLogger(&out)
	for range linesPerSecond + 7 {
		log.WithTime(start).Info("answered")
	}
	out.Reset()
	log.WithTime(start.Add(time.Second)).Info("answered")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	var notice struct {
		Message string `json:"msg"`
		LeftOut string `json:"left_out"`
		Count   int    `json:"count"`
		Host    string `json:"host_id"`
	}
	is.NoErr(json.Unmarshal([]byte(lines[0]), &notice))
	is.Equal(notice.Message, leftOutMessage)
	is.Equal(notice.LeftOut, "answered")
	is.Equal(notice.Count, 7)
	is.Equal(notice.Host, "host-1")
}

// TestConcurrentLinesAreNotInterleaved guards against a log line that contains parts of another one.
func TestConcurrentLinesAreNotInterleaved(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, _ := newTestLogger(&out)
	var writers sync.WaitGroup
	for range 8 {
		writers.Go(func() {
			for range linesPerSecond {
				log.WithField("a", 1).Info("answered")
			}
		})
	}
	writers.Wait()
	for line := range strings.SplitSeq(strings.TrimSpace(out.String()), "\n") {
		is.True(json.Valid([]byte(line)))
	}
}

// blockedWriter blocks every write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (w blockedWriter) Write(line []byte) (int, error) {
	<-w.release
	return len(line), nil
}

// TestBlockedWriterDoesNotBlockLogger guards against requests that hang because the reader of the log has stopped reading.
func TestBlockedWriterDoesNotBlockLogger(t *testing.T) {
	is := is.New(t)
	out := blockedWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(out)
	log := logrus.New()
	log.SetOutput(writer)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * maxQueuedLines {
			log.Info("answered")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("logger waits for a blocked writer")
	}
	is.True(writer.Dropped() >= maxQueuedLines-1)
	close(out.release)
	writer.Close()
}
