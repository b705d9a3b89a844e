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

func budgeted(out *bytes.Buffer) (*logrus.Logger, *RateLimitFormatter) {
	budget := NewRateLimitFormatter("host-1")
	log := logrus.New()
	log.SetFormatter(budget)
	log.SetOutput(out)
	return log, budget
}

func TestCommonLinesLeaveRareOnesTheirPlace(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, budget := budgeted(&out)
	for range 10 * linesPerSecond {
		log.WithTime(start).Info("answered")
	}
	log.WithTime(start).Warn("store lost")
	is.Equal(strings.Count(out.String(), "answered"), linesPerSecond)
	is.Equal(strings.Count(out.String(), "store lost"), 1)
	is.Equal(budget.Skipped(), int64(9*linesPerSecond))
}

func TestWhatWasLeftOutIsSaidInTheNextSecond(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, _ := budgeted(&out)
	for range linesPerSecond + 7 {
		log.WithTime(start).Info("answered")
	}
	out.Reset()
	log.WithTime(start.Add(time.Second)).Info("answered")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	var said struct {
		Message string `json:"msg"`
		LeftOut string `json:"left_out"`
		Count   int    `json:"count"`
		Host    string `json:"host_id"`
	}
	is.NoErr(json.Unmarshal([]byte(lines[0]), &said))
	is.Equal(said.Message, leftOut)
	is.Equal(said.LeftOut, "answered")
	is.Equal(said.Count, 7)
	is.Equal(said.Host, "host-1")
}

func TestLinesAreWholeWhenManyAreWrittenAtOnce(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log, _ := budgeted(&out)
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

// stuck is a reader that never reads.
type stuck struct{ release chan struct{} }

func (s stuck) Write(line []byte) (int, error) {
	<-s.release
	return len(line), nil
}

func TestUnreadLogBlocksNobody(t *testing.T) {
	is := is.New(t)
	out := stuck{release: make(chan struct{})}
	async := NewAsyncWriter(out)
	log := logrus.New()
	log.SetOutput(async)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 2 * queuedLines {
			log.Info("answered")
		}
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a logger waits for a reader that does not read")
	}
	is.True(async.Dropped() >= queuedLines-1)
	close(out.release)
	async.Close()
}
