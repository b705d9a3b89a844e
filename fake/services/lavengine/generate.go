package lavengine

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
)

// meanPart is the part of a new measurement in the reported means.
const meanPart = 0.2

// generate writes the answer of a job to its stream at the engine's speed.
func (e *Engine) generate(one *job) {
	ctx := one.stream.context
	whole := e.write(ctx, one)
	now := time.Now()
	e.mu.Lock()
	e.running--
	one.run.Ended = now
	one.run.Whole = whole
	one.run.InputTokens = one.input
	one.run.OutputTokens = one.tokens
	e.mu.Unlock()
	one.stream.end(!whole, now)
	one.stream.cancel()
}

// write returns whether the whole answer was written.
func (e *Engine) write(ctx context.Context, one *job) bool {
	began := time.Now()
	first := e.settings.Speed.FirstToken
	if one.cached {
		first /= 2
	}
	if !e.work(ctx, first) {
		return false
	}
	firstTook := time.Since(began)
	words := lavtruth.Words(one.digest, one.tokens, one.accepted)
	for i, word := range words {
		if i == len(words)/2 && !e.step(ctx, lavtruth.StepHalf, one) {
			return false
		}
		if i == len(words)-1 && !e.step(ctx, lavtruth.StepEnd, one) {
			return false
		}
		if one.body.Stream {
			one.stream.append(event(one.chunk(word)))
		}
		if !e.work(ctx, e.settings.Speed.BetweenTokens) {
			return false
		}
	}
	e.measure(firstTook, (time.Since(began)-firstTook)/time.Duration(len(words)))
	if one.body.Stream {
		one.stream.append(event(one.lastChunk()))
		one.stream.append([]byte("data: [DONE]\n\n"))
		return true
	}
	one.stream.append(encode(one.completion(strings.Join(words, ""))))
	return true
}

// step applies the faults of a step within an answer; it returns false when the answer breaks off.
func (e *Engine) step(ctx context.Context, step lavtruth.Step, one *job) bool {
	call := lavfault.Call{Held: lavtruth.Held{Step: step, Attempt: one.run.Attempt, Request: one.run.Request}}
	return e.faults.Pass(ctx, call)
}

// work takes length, stretched by the present load, and returns false when the answer is cancelled.
func (e *Engine) work(ctx context.Context, length time.Duration) bool {
	e.mu.Lock()
	capacity := e.settings.Warmth.capacity(e.coldSince, time.Now())
	stretched := time.Duration(float64(length) * e.settings.Speed.slowdown(e.running, capacity))
	e.mu.Unlock()
	timer := time.NewTimer(stretched)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (e *Engine) measure(first, next time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.firstMean = mean(e.firstMean, first)
	e.nextMean = mean(e.nextMean, next)
}

func mean(old, measured time.Duration) time.Duration {
	if old == 0 {
		return measured
	}
	return time.Duration((1-meanPart)*float64(old) + meanPart*float64(measured))
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Message      *text   `json:"message,omitempty"`
	Delta        *text   `json:"delta,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type text struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (j *job) base(object string) completion {
	return completion{ID: "chatcmpl-" + string(j.run.Attempt), Object: object, Created: j.run.Arrived.Unix(), Model: string(j.answers)}
}

func (j *job) usage() *usage {
	counted := &usage{PromptTokens: j.input, CompletionTokens: j.tokens, TotalTokens: j.input + j.tokens}
	if j.cached {
		counted.Details.CachedTokens = j.input / 2
	}
	return counted
}

func (j *job) completion(content string) completion {
	stop := "stop"
	whole := j.base("chat.completion")
	whole.Choices = []choice{{Message: &text{Role: "assistant", Content: content}, FinishReason: &stop}}
	whole.Usage = j.usage()
	return whole
}

func (j *job) chunk(word string) completion {
	part := j.base("chat.completion.chunk")
	part.Choices = []choice{{Delta: &text{Content: word}}}
	return part
}

func (j *job) lastChunk() completion {
	stop := "stop"
	part := j.base("chat.completion.chunk")
	part.Choices = []choice{{Delta: &text{}, FinishReason: &stop}}
	part.Usage = j.usage()
	return part
}

func event(value any) []byte {
	return append(append([]byte("data: "), encode(value)...), "\n\n"...)
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
