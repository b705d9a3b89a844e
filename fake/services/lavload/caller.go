package lavload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"lavenderswitch/fake/models/lavtruth"
)

const maxAnswerBytes = 16 << 20

// outcome is the result of one request. It is a success when neither field is set.
type outcome struct {
	refused bool
	broken  error
}

// caller sends requests one after the other. number is its index among the callers.
type caller struct {
	settings Settings
	number   int
	random   *rand.Rand
	http     *http.Client
	sent     int
}

func newCaller(settings Settings, number int) *caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 1}
	return &caller{settings: settings, number: number, random: newRandom(settings.Seed, number), http: &http.Client{Transport: transport}}
}

func (c *caller) run(ctx context.Context, counter *resultCounter) {
	defer c.http.CloseIdleConnections()
	for ctx.Err() == nil && counter.reserve() {
		began := time.Now()
		result := c.send(ctx)
		if ctx.Err() != nil {
			return
		}
		counter.add(result, time.Since(began))
		c.sent++
		select {
		case <-ctx.Done():
		case <-time.After(c.settings.Pause):
		}
	}
}

// send draws the kind of the next request, sends it and checks the answer.
func (c *caller) send(ctx context.Context) outcome {
	sample := c.random.Float64()
	text := fmt.Sprintf("prompt %d of caller %d with seed %d", c.sent, c.number, c.settings.Seed)
	switch {
	case sample < c.settings.ServicePart:
		return c.exchange(ctx, "/services/"+c.settings.Service, []byte(text), func(body []byte) error { return CheckService(body, text) })
	case sample < c.settings.ServicePart+c.settings.StreamPart:
		return c.exchange(ctx, "/v1/chat/completions", ChatBody("auto", text, true), func(body []byte) error { return CheckStream(body, text) })
	default:
		return c.exchange(ctx, "/v1/chat/completions", ChatBody("auto", text, false), func(body []byte) error { return CheckChat(body, text) })
	}
}

// exchange sends one request and returns its outcome. A request without a reply counts as refused.
func (c *caller) exchange(ctx context.Context, path string, body []byte, check func(body []byte) error) outcome {
	target := c.settings.Targets[(c.number+c.sent)%len(c.settings.Targets)]
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target+path, bytes.NewReader(body))
	if err != nil {
		return outcome{broken: err}
	}
	request.Header.Set("Authorization", "Bearer "+c.settings.Keys[c.number%len(c.settings.Keys)])
	request.Header.Set("Idempotency-Key", uuid.NewString())
	response, err := c.http.Do(request)
	if err != nil {
		return outcome{refused: true}
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if response.StatusCode != http.StatusOK {
		return outcome{refused: true}
	}
	if err != nil {
		return outcome{broken: errors.Wrap(err, "answer is truncated")}
	}
	return outcome{broken: check(answer)}
}

type chatBody struct {
	Model    string        `json:"model"`
	Stream   bool          `json:"stream"`
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatBody returns the body of a chat completions request with one user message.
func ChatBody(model, text string, stream bool) []byte {
	data, err := json.Marshal(chatBody{Model: model, Stream: stream, Messages: []chatMessage{{Role: "user", Content: text}}})
	if err != nil {
		panic(err)
	}
	return data
}

type completion struct {
	Choices []struct {
		Message chatMessage `json:"message"`
		Delta   chatMessage `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

// CheckChat returns an error unless body is the complete answer to text, not streamed.
func CheckChat(body []byte, text string) error {
	var answer completion
	if err := json.Unmarshal(body, &answer); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	if len(answer.Choices) != 1 {
		return errors.New("answer does not have exactly one choice")
	}
	return lavtruth.CheckAnswer(answer.Choices[0].Message.Content, lavtruth.TextDigest(text))
}

// ErrStreamRefused is returned for a stream that ended with an error event.
var ErrStreamRefused = errors.New("stream ended with an error event")

// CheckStream returns an error unless body is the complete streamed answer to text.
func CheckStream(body []byte, text string) error {
	var content strings.Builder
	ended := false
	for line := range strings.Lines(string(body)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			ended = true
			continue
		}
		var part completion
		if err := json.Unmarshal([]byte(data), &part); err != nil {
			return errors.Wrap(err, "decode event")
		}
		if part.Error != nil {
			return ErrStreamRefused
		}
		for _, choice := range part.Choices {
			content.WriteString(choice.Delta.Content)
		}
	}
	if !ended {
		return errors.New("stream is truncated")
	}
	return lavtruth.CheckAnswer(content.String(), lavtruth.TextDigest(text))
}

// CheckService returns an error unless body is the answer of a plain service to text.
func CheckService(body []byte, text string) error {
	var answer lavtruth.ServiceReply
	if err := json.Unmarshal(body, &answer); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	if answer.Digest != lavtruth.Digest([]byte(text)) {
		return errors.New("answer belongs to another request")
	}
	return nil
}
