package lavengine

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
)

// TestCapacityGrowsDuringWarmUp guards against a stand-in that is warm at once or never, with which tests of cold engines
// would check nothing.
func TestCapacityGrowsDuringWarmUp(t *testing.T) {
	is := is.New(t)
	warmth := Warmth{Capacity: 10, ColdCapacity: 2, WarmUp: 4 * time.Second}
	began := time.Now()
	is.Equal(warmth.capacity(began, began), 2)
	is.Equal(warmth.capacity(began, began.Add(2*time.Second)), 6)
	is.Equal(warmth.capacity(began, began.Add(time.Minute)), 10)
}

// TestOldEpochIsRefusedOnlyWhenFenced guards against a fenced engine that accepts an order of a replaced side process, and
// against an engine without fencing that refuses it.
func TestOldEpochIsRefusedOnlyWhenFenced(t *testing.T) {
	is := is.New(t)
	for _, fenced := range []bool{true, false} {
		engine := New(Settings{Fenced: fenced}, lavfault.New(), time.Now())
		is.NoErr(engine.applyOrder(orderRequest{Epoch: 5, Order: orderLoad, Version: "v"}, time.Now()))
		err := engine.applyOrder(orderRequest{Epoch: 4, Order: orderUnload, Version: "v"}, time.Now())
		is.Equal(err != nil, fenced)
	}
}

// TestAnswerIsResumedFromOffset guards against a resumed stream that repeats, skips or regenerates a part of the answer.
func TestAnswerIsResumedFromOffset(t *testing.T) {
	is := is.New(t)
	engine := New(Settings{Speed: Speed{Tokens: 6, BetweenTokens: time.Millisecond}, Warmth: Warmth{Capacity: 4}}, lavfault.New(), time.Now())
	engine.Load("v")
	server := httptest.NewServer(engine.Routes())
	defer server.Close()
	body := `{"model":"v","messages":[{"role":"user","content":"hello"}]}`
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set(headerAttempt, "a1")
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	whole, err := io.ReadAll(response.Body)
	is.NoErr(err)
	response.Body.Close()
	is.True(strings.Contains(string(whole), "5/6:"+lavtruth.TextDigest("hello")))
	response, err = http.Get(server.URL + "/streams/a1?from=10")
	is.NoErr(err)
	defer response.Body.Close()
	rest, err := io.ReadAll(response.Body)
	is.NoErr(err)
	is.Equal(string(rest), string(whole[10:]))
	is.Equal(response.Header.Get(headerVersion), "v")
}

// TestQualityIsDeterministicForSeedAndPrompt guards against runs that cannot be reproduced from their seed, and against a
// share of acceptable answers far from the configured probability.
func TestQualityIsDeterministicForSeedAndPrompt(t *testing.T) {
	is := is.New(t)
	quality := Quality{Easy: map[lavid.VersionID]float64{"v": 0.7}}
	accepted := 0
	const prompts = 2000
	for i := range prompts {
		digest := lavtruth.Digest([]byte{byte(i), byte(i >> 8)})
		first := quality.acceptable(1, "v", digest, "")
		is.Equal(first, quality.acceptable(1, "v", digest, ""))
		if first {
			accepted++
		}
	}
	is.True(accepted > prompts*65/100 && accepted < prompts*75/100)
}
