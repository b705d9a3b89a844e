package lavcaller

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const streamText = "data: {\"choices\":[{\"delta\":{}}]}\n\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":1}}\n\ndata: [DONE]\n\n"

// TestEventFilterHoldsBackTheClosingEvent guards against a caller that receives [DONE] before the answer is complete and
// billed, or a usage event that it did not ask for.
func TestEventFilterHoldsBackTheClosingEvent(t *testing.T) {
	is := is.New(t)
	filter := &eventFilter{dropUsage: true}
	is.Equal(string(filter.filter([]byte(streamText))), "data: {\"choices\":[{\"delta\":{}}]}\n\n")
	is.Equal(string(filter.remainder()), "data: [DONE]\n\n")
}

// TestEventFilterLosesNoByteForAnyChunking guards against lost or doubled bytes when chunks do not end where events
// do.
func TestEventFilterLosesNoByteForAnyChunking(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := []byte(streamText + rapid.StringMatching(`[a-z\n]{0,20}`).Draw(t, "tail"))
		filter := &eventFilter{}
		var got []byte
		for from := 0; from < len(text); {
			to := min(len(text), from+rapid.IntRange(1, 40).Draw(t, "cut"))
			got = append(got, filter.filter(text[from:to])...)
			from = to
		}
		got = append(got, filter.remainder()...)
		if len(got) != len(text) {
			t.Fatalf("%d bytes in, %d bytes out", len(text), len(got))
		}
	})
}
