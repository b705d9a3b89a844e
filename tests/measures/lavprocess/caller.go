package lavprocess

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Caller sends chat requests to one address.
type Caller struct {
	// Base is the URL without the path, such as "http://127.0.0.1:8000".
	Base string
	HTTP *http.Client
}

// NewCaller returns a caller that reuses its connections.
func NewCaller(address string) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 2000, MaxIdleConns: 4000}
	return &Caller{Base: "http://" + address, HTTP: &http.Client{Transport: transport}}
}

// Answer is the outcome of one request.
type Answer struct {
	Status int
	// First is the time to the first token, Whole the time to the end of the answer.
	First time.Duration
	Whole time.Duration
	// Tokens counts the events of a stream before [DONE]. It is zero for an answer that is not streamed.
	Tokens int
	// Complete means that the whole answer was received.
	Complete bool
}

// MeanTokenInterval returns the mean time between two tokens of a stream, or zero with fewer than two tokens.
func (a Answer) MeanTokenInterval() time.Duration {
	if a.Tokens < 2 {
		return 0
	}
	return (a.Whole - a.First) / time.Duration(a.Tokens-1)
}

// Send sends one chat request and reads the whole answer.
func (c *Caller) Send(ctx context.Context, stream bool, text string) (Answer, error) {
	body := `{"model":"small-1","messages":[{"role":"user","content":"` + text + `"}]}`
	if stream {
		body = `{"model":"small-1","stream":true,"messages":[{"role":"user","content":"` + text + `"}]}`
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.Base+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return Answer{}, errors.Wrap(err, "build request")
	}
	request.Header.Set("Authorization", "Bearer "+CallerKey)
	began := time.Now()
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Answer{}, errors.Wrap(err, "send request")
	}
	defer response.Body.Close()
	if !stream || response.StatusCode != http.StatusOK {
		_, err := io.Copy(io.Discard, response.Body)
		whole := time.Since(began)
		return Answer{Status: response.StatusCode, First: whole, Whole: whole, Complete: err == nil && response.StatusCode == http.StatusOK}, nil
	}
	return readStream(response, began), nil
}

// readStream reads an event stream and measures the times to the first and to the last token.
func readStream(response *http.Response, began time.Time) Answer {
	answer := Answer{Status: response.StatusCode}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			answer.Complete = true
			break
		}
		if answer.Tokens == 0 {
			answer.First = time.Since(began)
		}
		answer.Tokens++
		answer.Whole = time.Since(began)
	}
	return answer
}
