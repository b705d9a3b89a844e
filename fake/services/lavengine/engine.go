package lavengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
)

// Speed is how fast the engine generates.
type Speed struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Tokens        int
}

// Engine answers chat completions with counted words.
type Engine struct {
	speed   Speed
	mu      sync.Mutex
	loaded  []lavid.VersionID
	running int
}

// New returns an engine without versions.
func New(speed Speed) *Engine {
	return &Engine{speed: speed}
}

// Load adds a version.
func (e *Engine) Load(version lavid.VersionID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded = append(e.loaded, version)
}

// Routes returns the handler of every path.
func (e *Engine) Routes() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, "/v1/chat/completions", e.chat)
	router.HandlerFunc(http.MethodGet, "/state", e.state)
	return router
}

type stateReply struct {
	LoadedVersions []lavid.VersionID
	Running        int
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	reply := stateReply{LoadedVersions: slices.Clone(e.loaded), Running: e.running}
	e.mu.Unlock()
	lavhttp.WriteJSON(w, http.StatusOK, reply)
}

type chatRequest struct {
	Model  lavid.VersionID `json:"model"`
	Stream bool            `json:"stream"`
}

func (e *Engine) chat(w http.ResponseWriter, request *http.Request) {
	var body chatRequest
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "body is not JSON", "send JSON"))
		return
	}
	e.mu.Lock()
	loaded := slices.Contains(e.loaded, body.Model)
	e.running++
	e.mu.Unlock()
	defer e.leave()
	if !loaded {
		lavhttp.WriteError(w, laverror.New(laverror.KindNotFound, "version is not loaded", "load it first"))
		return
	}
	w.Header().Set("Lavender-Version", string(body.Model))
	time.Sleep(e.speed.FirstToken)
	if body.Stream {
		e.stream(w, body.Model)
		return
	}
	time.Sleep(e.speed.BetweenTokens * time.Duration(e.speed.Tokens))
	lavhttp.WriteJSON(w, http.StatusOK, e.completion(body.Model))
}

func (e *Engine) leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
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
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

const promptTokens = 10

func (e *Engine) usage() *usage {
	return &usage{PromptTokens: promptTokens, CompletionTokens: e.speed.Tokens, TotalTokens: promptTokens + e.speed.Tokens}
}

func (e *Engine) completion(version lavid.VersionID) completion {
	words := make([]string, 0, e.speed.Tokens)
	for i := range e.speed.Tokens {
		words = append(words, word(i))
	}
	stop := "stop"
	message := &text{Role: "assistant", Content: strings.Join(words, "")}
	return completion{
		ID: "chatcmpl-fake", Object: "chat.completion", Model: string(version),
		Choices: []choice{{Message: message, FinishReason: &stop}}, Usage: e.usage(),
	}
}

func (e *Engine) stream(w http.ResponseWriter, version lavid.VersionID) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	chunk := completion{ID: "chatcmpl-fake", Object: "chat.completion.chunk", Model: string(version)}
	for i := range e.speed.Tokens {
		chunk.Choices = []choice{{Delta: &text{Content: word(i)}}}
		writeEvent(w, flush, chunk)
		time.Sleep(e.speed.BetweenTokens)
	}
	stop := "stop"
	chunk.Choices = []choice{{Delta: &text{}, FinishReason: &stop}}
	chunk.Usage = e.usage()
	writeEvent(w, flush, chunk)
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

func writeEvent(w http.ResponseWriter, flush *http.ResponseController, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		return
	}
	_, _ = w.Write([]byte("data: " + string(data) + "\n\n"))
	_ = flush.Flush()
}

func word(i int) string {
	return fmt.Sprintf("word%d ", i)
}
