package lavengine

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
)

const (
	maxPromptBytes = 8 << 20
	// maxTokens limits the max_tokens of a request.
	maxTokens = 10000
	// prefixBytes is the length of the prompt prefix by which the cache identifies a prompt.
	prefixBytes = 256
	// bytesPerToken converts the length of a prompt into input tokens.
	bytesPerToken = 4
)

type chatRequest struct {
	Model     lavid.VersionID `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
}

// job is an admitted chat request. cached reports whether the prefix of its prompt was in the cache.
type job struct {
	run           *lavtruth.Run
	body          chatRequest
	answerVersion lavid.VersionID
	digest        string
	outputTokens  int
	inputTokens   int
	cached        bool
	acceptable    bool
	stream        *stream
}

func (e *Engine) chat(w http.ResponseWriter, request *http.Request) {
	var body chatRequest
	var messages []lavtruth.Message
	err := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxPromptBytes)).Decode(&body)
	if err == nil {
		err = json.Unmarshal(body.Messages, &messages)
	}
	if err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "decode chat request: "+err.Error(), "send a JSON body with messages"))
		return
	}
	arrived := time.Now()
	call := lavfault.Call{HeldCall: heldCall(lavtruth.StepArrive, request)}
	if !e.faults.Admit(request.Context(), call) {
		lavfault.WriteRefusal(w)
		return
	}
	j, refusal := e.admit(request, body, lavtruth.PromptDigest(messages), arrived)
	if refusal != nil {
		lavhttp.WriteError(w, refusal)
		return
	}
	e.jobs.Go(func() { e.generate(j) })
	j.stream.copyTo(w, request, 0)
}

func heldCall(step lavtruth.Step, request *http.Request) lavtruth.HeldCall {
	return lavtruth.HeldCall{
		Step:    step,
		Attempt: lavid.AttemptID(request.Header.Get(headerAttempt)),
		Request: lavid.RequestID(request.Header.Get(headerRequest)),
	}
}

// admit records the run and starts its stream. It fails when the version is not loaded or the engine is overloaded.
func (e *Engine) admit(request *http.Request, body chatRequest, digest string, now time.Time) (*job, error) {
	answerVersion := body.Model
	if wrong, ok := e.faults.Active(lavfault.WrongVersion); ok {
		answerVersion = lavid.VersionID(wrong.Version)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.loaded, body.Model) {
		return nil, laverror.New(laverror.KindNotFound, "version is not loaded", "send the order Load first")
	}
	e.dropExpiredStreams(now)
	e.running++
	run, err := e.recordRun(request, body.Model, now)
	if err != nil {
		e.running--
		return nil, err
	}
	if mustRefuse(run.Running, run.Capacity) {
		e.running--
		run.Ended = now
		return nil, laverror.New(laverror.KindOverloaded, "engine is overloaded", "send fewer requests at a time")
	}
	return e.newJob(run, body, answerVersion, digest), nil
}

// recordRun adds a run to the ground truth and to the journal.
func (e *Engine) recordRun(request *http.Request, version lavid.VersionID, now time.Time) (*lavtruth.Run, error) {
	capacity := e.settings.Warmth.capacity(e.coldSince, now)
	if e.running > capacity {
		e.truth.Overloads++
	}
	e.truth.MaxRunning = max(e.truth.MaxRunning, e.running)
	run := &lavtruth.Run{
		Request:  lavid.RequestID(request.Header.Get(headerRequest)),
		Attempt:  lavid.AttemptID(request.Header.Get(headerAttempt)),
		Priority: request.Header.Get(headerPriority),
		Version:  version,
		Arrived:  now,
		Running:  e.running,
		Capacity: capacity,
	}
	e.runs = append(e.runs, run)
	return run, e.settings.Journal.Append(*run)
}

// newJob determines the length and the quality of the answer, caches the prefix of the prompt and opens the stream.
func (e *Engine) newJob(run *lavtruth.Run, body chatRequest, answerVersion lavid.VersionID, digest string) *job {
	tokens := e.settings.Speed.Tokens
	if body.MaxTokens > 0 {
		tokens = min(body.MaxTokens, maxTokens)
	}
	contentType := "application/json"
	if body.Stream {
		contentType = "text/event-stream"
	}
	j := &job{
		run:           run,
		body:          body,
		answerVersion: answerVersion,
		digest:        digest,
		outputTokens:  tokens,
		inputTokens:   max(1, len(body.Messages)/bytesPerToken),
		acceptable:    e.settings.Quality.acceptable(e.settings.Seed, answerVersion, digest, string(body.Messages)),
		cached:        e.cache.contains(answerVersion, prefix(body.Messages)),
	}
	if bad, ok := e.faults.Active(lavfault.Bad); ok && (bad.Version == "" || bad.Version == string(answerVersion)) {
		j.acceptable = false
	}
	e.cachePrefix(answerVersion, prefix(body.Messages), run.Arrived)
	ctx, cancel := context.WithCancel(context.Background())
	j.stream = newStream(answerVersion, contentType, cancel)
	j.stream.context = ctx
	if run.Attempt != "" {
		e.streams[run.Attempt] = j.stream
	}
	return j
}

// prefix returns the hash of the first prefixBytes bytes of the messages.
func prefix(messages []byte) uint64 {
	return xxhash.Sum64(messages[:min(prefixBytes, len(messages))])
}
