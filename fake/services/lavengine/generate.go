package lavengine

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
)

// newSampleWeight is the weight of a new measurement in the moving averages that the engine reports.
const newSampleWeight = 0.2

// generate writes the answer of a job to its stream at the speed of the engine.
func (e *Engine) generate(j *job) {
	ctx := j.stream.context
	complete := e.writeAnswer(ctx, j)
	now := time.Now()
	e.mu.Lock()
	e.running--
	j.run.Ended = now
	j.run.Whole = complete
	j.run.InputTokens = j.inputTokens
	j.run.OutputTokens = j.outputTokens
	e.mu.Unlock()
	j.stream.end(!complete, now)
	j.stream.cancel()
}

// writeAnswer writes the answer to the stream of a job and reports whether it is complete.
func (e *Engine) writeAnswer(ctx context.Context, j *job) bool {
	began := time.Now()
	first := e.settings.Speed.FirstToken
	if j.cached {
		first /= 2
	}
	if !e.simulateWork(ctx, first) {
		return false
	}
	firstTook := time.Since(began)
	words := lavtruth.Words(j.digest, j.outputTokens, j.acceptable)
	for i, word := range words {
		if i == len(words)/2 && !e.admitStep(ctx, lavtruth.StepHalf, j) {
			return false
		}
		if i == len(words)-1 && !e.admitStep(ctx, lavtruth.StepEnd, j) {
			return false
		}
		if j.body.Stream {
			j.stream.append(event(j.chunk(word)))
		}
		if !e.simulateWork(ctx, e.settings.Speed.BetweenTokens) {
			return false
		}
	}
	e.updateMeans(firstTook, (time.Since(began)-firstTook)/time.Duration(len(words)))
	if j.body.Stream {
		j.stream.append(event(j.lastChunk()))
		j.stream.append([]byte("data: [DONE]\n\n"))
		return true
	}
	j.stream.append(encode(j.completion(strings.Join(words, ""))))
	return true
}

// admitStep applies the faults of a step within an answer and reports whether the answer may continue.
func (e *Engine) admitStep(ctx context.Context, step lavtruth.Step, j *job) bool {
	call := lavfault.Call{HeldCall: lavtruth.HeldCall{Step: step, Attempt: j.run.Attempt, Request: j.run.Request}}
	return e.faults.Admit(ctx, call)
}

// simulateWork waits for length, multiplied by the slowdown at the current load, and reports whether the wait was
// completed. A cancelled answer ends it early.
func (e *Engine) simulateWork(ctx context.Context, length time.Duration) bool {
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

// updateMeans adds the times of one answer to the moving averages.
func (e *Engine) updateMeans(first, between time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.firstTokenMean = movingAverage(e.firstTokenMean, first)
	e.betweenTokensMean = movingAverage(e.betweenTokensMean, between)
}

func movingAverage(old, measured time.Duration) time.Duration {
	if old == 0 {
		return measured
	}
	return time.Duration((1-newSampleWeight)*float64(old) + newSampleWeight*float64(measured))
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

func (j *job) newCompletion(object string) completion {
	return completion{ID: "chatcmpl-" + string(j.run.Attempt), Object: object, Created: j.run.Arrived.Unix(), Model: string(j.answerVersion)}
}

func (j *job) usage() *usage {
	counts := &usage{PromptTokens: j.inputTokens, CompletionTokens: j.outputTokens, TotalTokens: j.inputTokens + j.outputTokens}
	if j.cached {
		counts.Details.CachedTokens = j.inputTokens / 2
	}
	return counts
}

func (j *job) completion(content string) completion {
	stop := "stop"
	whole := j.newCompletion("chat.completion")
	whole.Choices = []choice{{Message: &text{Role: "assistant", Content: content}, FinishReason: &stop}}
	whole.Usage = j.usage()
	return whole
}

func (j *job) chunk(word string) completion {
	chunk := j.newCompletion("chat.completion.chunk")
	chunk.Choices = []choice{{Delta: &text{Content: word}}}
	return chunk
}

func (j *job) lastChunk() completion {
	stop := "stop"
	chunk := j.newCompletion("chat.completion.chunk")
	chunk.Choices = []choice{{Delta: &text{}, FinishReason: &stop}}
	chunk.Usage = j.usage()
	return chunk
}

// event returns a value as one server-sent event.
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
