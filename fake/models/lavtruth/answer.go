package lavtruth

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// The last word of an answer, from which the rating service reads its quality.
const (
	Acceptable = "acceptable"
	Flawed     = "flawed"
)

// Message is one message of a chat completions request.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// PromptDigest returns the digest of the content of the last message, which each word of the answer contains.
func PromptDigest(messages []Message) string {
	if len(messages) == 0 {
		return "empty"
	}
	var compact bytes.Buffer
	if json.Compact(&compact, messages[len(messages)-1].Content) != nil {
		return "unreadable"
	}
	return Digest(compact.Bytes())
}

// TextDigest returns the digest of a message with the given text as its content.
func TextDigest(text string) string {
	content, err := json.Marshal(text)
	if err != nil {
		return "unreadable"
	}
	return Digest(content)
}

// Digest returns the 64-bit xxHash of data in hexadecimal.
func Digest(data []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(data))
}

// Words returns the words of an answer: numbered words with the digest of the prompt, as many as tokens, and a last word
// with the quality.
func Words(digest string, tokens int, acceptable bool) []string {
	words := make([]string, 0, tokens+1)
	for i := range tokens {
		words = append(words, fmt.Sprintf("%d/%d:%s ", i, tokens, digest))
	}
	if acceptable {
		return append(words, Acceptable)
	}
	return append(words, Flawed)
}

// CheckAnswer returns an error unless content is the complete answer to the prompt with the given digest.
func CheckAnswer(content, digest string) error {
	words := strings.Fields(content)
	if len(words) == 0 {
		return errors.New("answer is empty")
	}
	last := words[len(words)-1]
	if last != Acceptable && last != Flawed {
		return errors.Errorf("answer is truncated after %q", last)
	}
	for i, word := range words[:len(words)-1] {
		if want := fmt.Sprintf("%d/%d:%s", i, len(words)-1, digest); word != want {
			return errors.Errorf("word %d of the answer is %q instead of %q", i, word, want)
		}
	}
	return nil
}

// ServiceReply is the reply of a plain service. Runs is the number of times that the request has run so far, and Bytes
// and Digest describe the body of the call.
type ServiceReply struct {
	Request string
	Attempt string
	Runs    int
	Bytes   int
	Digest  string
}
