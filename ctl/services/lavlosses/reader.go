package lavlosses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
)

// maxLineBytes limits the length of a log line.
const maxLineBytes = 1 << 20

// The messages with which hosts log the end of a request.
const (
	msgAnswered   = "answered"
	msgRefused    = "refused"
	msgBrokenOff  = "broken off"
	msgCallerLeft = "caller left"
)

// entry is a log line, as far as it tells of a request. Times are in milliseconds.
type entry struct {
	Message    string             `json:"msg"`
	Time       time.Time          `json:"time"`
	Request    lavid.RequestID    `json:"request_id"`
	Route      string             `json:"route"`
	Account    lavid.AccountID    `json:"account_id"`
	DataCentre lavid.DataCentreID `json:"data_centre"`
	Took       float64            `json:"took_ms"`
	Waited     float64            `json:"waited_ms"`
	First      float64            `json:"first_ms"`
	FirstRun   float64            `json:"first_run_ms"`
	LastRun    float64            `json:"last_run_ms"`
	Pause      float64            `json:"longest_pause_ms"`
	Target     float64            `json:"target_ms"`
	Input      float64            `json:"input_tokens"`
	Events     float64            `json:"events"`
	Runs       float64            `json:"runs"`
	Confidence *float64           `json:"confidence"`
	Dropped    *float64           `json:"dropped_confidence"`
	Withheld   string             `json:"withheld"`
	Cost       float64            `json:"cost"`
}

// End is how a request ended.
type End struct {
	Outcome    string
	Arrived    time.Time
	Route      string
	Account    lavid.AccountID
	DataCentre lavid.DataCentreID
	// Input is the length of the prompt; zero for requests to plain services.
	Input lavid.Tokens
	// Target is the latency target, and First the time to the first event of a stream, or to the answer.
	Target time.Duration
	First  time.Duration
	// Waited is the time at the host, FirstRun that of a run whose answer was dropped, and LastRun that of the run that was delivered,
	// each to its first event.
	Waited   time.Duration
	FirstRun time.Duration
	LastRun  time.Duration
	Pause    time.Duration
	// Confidence is that of the delivered answer; HasConfidence is false if it states none.
	Confidence    int
	HasConfidence bool
	// Dropped reports whether a first answer was dropped, and Withheld why a wanted second run was not made.
	Dropped  bool
	Withheld string
}

// isLate reports whether the request was answered after its target.
func (e End) isLate() bool { return e.Outcome == msgAnswered && e.Target > 0 && e.First > e.Target }

// Reader collects the ends of requests.
type Reader struct {
	ends []End
	// open holds the requests that were named and whose end was not read.
	open map[lavid.RequestID]time.Time
	// ended holds the requests whose end was read before another line of theirs, as logs of several hosts are read one after the other.
	ended   map[lavid.RequestID]bool
	costs   []cost
	damaged int
}

// cost is what a second run cost others, in right answers.
type cost struct {
	at    time.Time
	value float64
}

// NewReader returns a reader that has read nothing.
func NewReader() *Reader {
	return &Reader{open: make(map[lavid.RequestID]time.Time), ended: make(map[lavid.RequestID]bool)}
}

// Read reads a log. Lines that hold no JSON object are passed over; damaged ones are counted.
func (r *Reader) Read(log io.Reader, source string) error {
	lines := bufio.NewReaderSize(log, maxLineBytes)
	for {
		line, err := lines.ReadSlice('\n')
		for errors.Is(err, bufio.ErrBufferFull) { // passes over the rest of a line that is too long
			r.damaged++
			line = nil
			_, err = lines.ReadSlice('\n')
		}
		if start := bytes.IndexByte(line, '{'); start >= 0 {
			r.add(line[start:])
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return nil
		default:
			return errors.Wrapf(err, "read %s", source)
		}
	}
}

func (r *Reader) add(line []byte) {
	var read entry
	if err := json.Unmarshal(line, &read); err != nil {
		r.damaged++
		return
	}
	switch {
	case read.Request == "":
		return
	case read.Route == "":
		if !r.ended[read.Request] {
			r.open[read.Request] = read.Time
		}
		if read.Cost > 0 {
			r.costs = append(r.costs, cost{at: read.Time, value: read.Cost})
		}
		return
	}
	r.ended[read.Request] = true
	delete(r.open, read.Request)
	r.ends = append(r.ends, endOf(read))
}

func endOf(read entry) End {
	end := End{
		Outcome: read.Message, Arrived: read.Time.Add(-milliseconds(read.Took)), Route: read.Route, Account: read.Account,
		DataCentre: read.DataCentre, Input: lavid.Tokens(read.Input), Target: milliseconds(read.Target), First: milliseconds(read.First),
		Waited: milliseconds(read.Waited), FirstRun: milliseconds(read.FirstRun), LastRun: milliseconds(read.LastRun),
		Pause: milliseconds(read.Pause), Dropped: read.Dropped != nil, Withheld: read.Withheld,
	}
	if read.Events == 0 {
		end.First = milliseconds(read.Took)
	}
	if read.Confidence != nil {
		end.Confidence, end.HasConfidence = int(*read.Confidence), true
	}
	return end
}

func milliseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Millisecond))
}
