package lavanswer

import (
	"context"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"lavenderswitch/wire/lavwire"
)

// TestSlowReaderBlocksWriterAtWindow guards against a buffer that grows without bound when its reader is slow.
func TestSlowReaderBlocksWriterAtWindow(t *testing.T) {
	is := is.New(t)
	buffer := New(Options{Window: 4})
	is.NoErr(buffer.Append(t.Context(), []byte("12345")))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	is.True(buffer.Append(ctx, []byte("6")) != nil)
	go buffer.Consumed(5)
	is.NoErr(buffer.Append(t.Context(), []byte("6")))
	is.Equal(string(buffer.View(0).Body), "123456")
}

// TestBudgetBoundsAllBuffers guards against buffers that together hold more than the budget: one buffer uses the whole
// budget, and another waits until the first is freed.
func TestBudgetBoundsAllBuffers(t *testing.T) {
	is := is.New(t)
	budget := NewBudget(8)
	first := New(Options{Budget: budget, KeepAll: true})
	second := New(Options{Budget: budget, KeepAll: true})
	is.NoErr(first.Append(t.Context(), make([]byte, 8)))
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	is.True(second.Append(ctx, []byte("x")) != nil)
	is.Equal(budget.Used(), int64(8))
	go first.Free()
	is.NoErr(second.Append(t.Context(), []byte("x")))
	is.Equal(budget.Used(), int64(1))
}

// TestTrimKeepsChecksumAndRefusesEarlyOffsets guards against a wrong checksum or a wrong body after consumed bytes were
// dropped under memory pressure.
func TestTrimKeepsChecksumAndRefusesEarlyOffsets(t *testing.T) {
	is := is.New(t)
	buffer := New(Options{Budget: NewBudget(4 * retainedBytes)})
	digest := xxhash.New()
	block := make([]byte, retainedBytes)
	for range 16 {
		is.NoErr(buffer.Append(t.Context(), block))
		_, _ = digest.Write(block)
		buffer.Consumed(buffer.Length())
	}
	buffer.Close(&lavwire.Usage{})
	is.True(buffer.View(0).Gone)
	last := buffer.View(15 * retainedBytes)
	is.True(!last.Gone)
	is.Equal(len(last.Body), retainedBytes)
	is.Equal(last.End.GetLength(), uint64(16*retainedBytes))
	is.Equal(last.End.GetChecksum(), digest.Sum64())
}

// TestCheckerDetectsTruncatedAnswers guards against a truncated answer that counts as complete.
func TestCheckerDetectsTruncatedAnswers(t *testing.T) {
	chat := Shape{Chat: true, Delimited: true}
	stream := Shape{Chat: true, Stream: true, Delimited: true}
	usage := `{"usage":{"prompt_tokens":3,"completion_tokens":5,"prompt_tokens_details":{"cached_tokens":2}}}`
	cases := []struct {
		name     string
		shape    Shape
		body     string
		complete bool
		out      int64
	}{
		{"plain chat", chat, usage, true, 5},
		{"truncated plain chat", chat, usage[:20], false, 0},
		{"stream", stream, "data: {}\n\ndata: " + usage + "\n\ndata: [DONE]\n\n", true, 5},
		{"stream without done", stream, "data: {}\n\ndata: " + usage + "\n\n", false, 0},
		{"stream truncated in done", stream, "data: {}\n\ndata: [DO", false, 0},
		{"empty stream", stream, "", false, 0},
		{"service", Shape{Delimited: true}, "anything", true, 0},
		{"service closed without length", Shape{ContentType: "text/plain"}, "anyth", false, 0},
		{"service JSON closed without length", Shape{ContentType: "application/json"}, `{"a":1}`, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			checker := NewChecker(c.shape)
			for _, b := range []byte(c.body) {
				checker.Write([]byte{b})
			}
			got, complete := checker.Check()
			is.Equal(complete, c.complete)
			is.Equal(got.GetOutputTokens(), c.out)
		})
	}
}
