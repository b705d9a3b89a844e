package lavanswer

import (
	"bytes"
	"encoding/json"
	"strings"

	"lavenderswitch/wire/lavwire"
)

// tailBytes is the minimum size of the end of a streamed answer that is kept to find its last events.
const tailBytes = 64 << 10

var (
	eventPrefix = []byte("data:")
	doneEvent   = []byte("[DONE]")
)

// Shape describes an answer apart from its body.
type Shape struct {
	// Chat reports that a model engine answered in the chat-completions protocol with success.
	Chat bool
	// Stream reports that the answer is a stream of server-sent events.
	Stream bool
	// Delimited reports that the transport marks the end of the body.
	Delimited   bool
	ContentType string
}

// Checker reads the body of one answer and checks whether it is complete. It keeps the whole body, or the tail of a
// stream.
type Checker struct {
	shape Shape
	tail  []byte
	body  []byte
}

// NewChecker returns a checker for an answer of the given shape.
func NewChecker(shape Shape) *Checker {
	return &Checker{shape: shape}
}

// Write adds the next bytes of the body.
func (c *Checker) Write(data []byte) {
	if !c.shape.Stream {
		c.body = append(c.body, data...)
		return
	}
	c.tail = append(c.tail, data...)
	if excess := len(c.tail) - tailBytes; excess > tailBytes {
		c.tail = append([]byte(nil), c.tail[excess:]...)
	}
}

// Check returns the usage that the answer states, zero if it states none, and reports whether the answer is complete.
func (c *Checker) Check() (*lavwire.Usage, bool) {
	switch {
	case c.shape.Chat && c.shape.Stream:
		return c.checkStream()
	case c.shape.Chat:
		return parseUsage(c.body), json.Valid(c.body)
	case c.shape.Delimited || c.shape.Stream:
		return &lavwire.Usage{}, c.shape.Delimited
	default:
		return &lavwire.Usage{}, strings.HasPrefix(c.shape.ContentType, "application/json") && json.Valid(c.body)
	}
}

// checkStream returns the usage that a stream states, and reports whether its last event is the end marker.
func (c *Checker) checkStream() (*lavwire.Usage, bool) {
	lines := bytes.Split(bytes.TrimRight(c.tail, "\r\n "), []byte("\n"))
	usage := &lavwire.Usage{}
	last := len(lines) - 1
	if event, ok := eventData(lines[last]); !ok || !bytes.Equal(event, doneEvent) {
		return usage, false
	}
	for i := last - 1; i >= 0; i-- {
		event, ok := eventData(lines[i])
		if !ok {
			continue
		}
		if found := parseUsage(event); found.GetInputTokens() > 0 || found.GetOutputTokens() > 0 {
			return found, true
		}
	}
	return usage, true
}

// eventData returns the data of a line of an event stream, and whether the line is a data line.
func eventData(line []byte) ([]byte, bool) {
	event, ok := bytes.CutPrefix(bytes.TrimSpace(line), eventPrefix)
	return bytes.TrimSpace(event), ok
}

type usageBody struct {
	Usage struct {
		PromptTokens        int64 `json:"prompt_tokens"`
		CompletionTokens    int64 `json:"completion_tokens"`
		PromptTokensDetails struct {
			CachedTokens int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// parseUsage returns the usage object of an answer or event, or a zero usage when it has none.
func parseUsage(body []byte) *lavwire.Usage {
	var answer usageBody
	if json.Unmarshal(body, &answer) != nil {
		return &lavwire.Usage{}
	}
	return &lavwire.Usage{
		InputTokens:  answer.Usage.PromptTokens,
		OutputTokens: answer.Usage.CompletionTokens,
		CachedTokens: answer.Usage.PromptTokensDetails.CachedTokens,
	}
}
