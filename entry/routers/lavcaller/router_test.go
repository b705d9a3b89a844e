package lavcaller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavkey"
	"lavenderswitch/entry/models/lavrequest"
)

// fakeServer holds a configuration and records the last request that it served.
type fakeServer struct {
	document *lavconfig.Document
	served   *lavrequest.Request
	answer   func(sink lavrequest.Sink) error
}

func (f *fakeServer) Document() *lavconfig.Document { return f.document }

func (f *fakeServer) Serve(_ context.Context, request *lavrequest.Request, sink lavrequest.Sink) error {
	f.served = request
	return f.answer(sink)
}

func newFakeServer() *fakeServer {
	return &fakeServer{
		answer: func(sink lavrequest.Sink) error {
			return (&lavrequest.BufferedAnswer{AnswerHead: lavrequest.Head{StatusCode: http.StatusOK}, Body: []byte("{}")}).Replay(sink)
		},
		document: &lavconfig.Document{
			Versions: map[lavid.VersionID]lavconfig.Version{"small-1": {Model: "small"}},
			Services: map[lavid.ServiceID]lavconfig.Service{"claims": {Calls: map[lavid.CallID]lavconfig.Call{"submit": {Method: http.MethodPost, Path: "/submit"}}}},
			ClientAccounts: map[lavid.AccountID]lavconfig.ClientAccount{"a": {
				KeyHashes: []string{lavkey.Hash("key")}, AllowedVersions: []lavid.VersionID{"small-1"}, AllowedServices: []lavid.ServiceID{"claims"}, MaxBodyBytes: 100,
			}},
		},
	}
}

func send(f *fakeServer, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	router := &Router{Configs: f, Server: f, RequestTimeout: time.Minute}
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer key")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	router.Routes().ServeHTTP(recorder, request)
	return recorder
}

// TestInvalidRequestsAreRejectedBeforeTheyRun guards against an invalid request that runs, and against an error
// without a remedy or with another run state than not run.
func TestInvalidRequestsAreRejectedBeforeTheyRun(t *testing.T) {
	const chat = `{"model":"auto","messages":[{"role":"user","content":"x"}]}`
	tests := []struct {
		name    string
		path    string
		body    string
		headers []string
		status  int
	}{
		{"unknown key", pathChat, chat, []string{"Authorization", "Bearer other"}, http.StatusUnauthorized},
		{"no key", pathChat, chat, []string{"Authorization", ""}, http.StatusUnauthorized},
		{"not JSON", pathChat, "{", nil, http.StatusBadRequest},
		{"no messages", pathChat, `{"messages":[]}`, nil, http.StatusBadRequest},
		{"messages of another type", pathChat, `{"messages":7}`, nil, http.StatusBadRequest},
		{"too large", pathChat, strings.Repeat("x", 200), nil, http.StatusRequestEntityTooLarge},
		{"long idempotency key", pathChat, chat, []string{HeaderIdempotencyKey, strings.Repeat("k", 300)}, http.StatusBadRequest},
		{"wrong timeout", pathChat, chat, []string{HeaderTimeout, "soon"}, http.StatusBadRequest},
		{"negative timeout", pathChat, chat, []string{HeaderTimeout, "-1s"}, http.StatusBadRequest},
		{"call without idempotency key", "/services/claims/submit", "x", nil, http.StatusBadRequest},
		{"unknown call", "/services/claims/delete", "x", nil, http.StatusNotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFakeServer()
			reply := send(f, http.MethodPost, test.path, test.body, test.headers...)
			is.Equal(reply.Code, test.status)
			var body lavhttp.ErrorBody
			is.NoErr(json.Unmarshal(reply.Body.Bytes(), &body))
			is.Equal(body.Error.RunState, laverror.NotRun)
			is.True(body.Error.Remedy != "")
			is.True(f.served == nil)
		})
	}
}

// TestRequestTakesIDAndDeadlineFromItsHeaders guards against losing the caller's idempotency key or timeout.
func TestRequestTakesIDAndDeadlineFromItsHeaders(t *testing.T) {
	is := is.New(t)
	f := newFakeServer()
	reply := send(f, http.MethodPost, "/services/claims/submit", "claim", HeaderIdempotencyKey, "k1", HeaderTimeout, "90s")
	is.Equal(reply.Code, http.StatusOK)
	is.Equal(f.served.ID, lavid.RequestID("k1"))
	is.Equal(f.served.Idempotent, false)
	is.True(f.served.TimeoutStated)
	is.Equal(f.served.Deadline.Sub(f.served.Arrived), 90*time.Second)
}

// TestBrokenStreamEndsWithAnErrorAndWithoutDone guards against a stream that fails after its first event and yet looks
// complete: the caller must get an error event and no [DONE], also when the backend server has already sent [DONE].
func TestBrokenStreamEndsWithAnErrorAndWithoutDone(t *testing.T) {
	is := is.New(t)
	f := newFakeServer()
	f.answer = func(sink lavrequest.Sink) error {
		_ = sink.Head(lavrequest.Head{StatusCode: http.StatusOK, ContentType: "text/event-stream"})
		_ = sink.Chunk([]byte("data: {\"choices\":[{}]}\n\ndata: [DONE]\n\n"))
		return laverror.New(laverror.KindBackendFailed, "broke off", "repeat").WithRun(laverror.Ran)
	}
	reply := send(f, http.MethodPost, pathChat, `{"stream":true,"messages":[{"role":"user"}]}`)
	text, err := io.ReadAll(reply.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(text), `"error"`))
	is.True(!strings.Contains(string(text), "[DONE]"))
}

// FuzzChatBody guards against a request body that makes the router panic or answer with a server error.
func FuzzChatBody(f *testing.F) {
	f.Add(`{"model":"auto","messages":[{"role":"user","content":"x"}]}`)
	f.Add(`{"messages":[null],"stream":true}`)
	f.Add(`{"messages":[{"role":7}],"model":{}}`)
	f.Add(`[]`)
	f.Fuzz(func(t *testing.T, body string) {
		reply := send(newFakeServer(), http.MethodPost, pathChat, body)
		if reply.Code >= http.StatusInternalServerError {
			t.Fatalf("status %d", reply.Code)
		}
	})
}

// brokenBody is a body whose sender leaves before its end.
type brokenBody struct{}

func (brokenBody) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestIncompleteBodyIsNotTooLarge guards against a caller that is told to send less because its connection broke off.
func TestIncompleteBodyIsNotTooLarge(t *testing.T) {
	is := is.New(t)
	f := newFakeServer()
	router := &Router{Configs: f, Server: f, RequestTimeout: time.Minute}
	request := httptest.NewRequest(http.MethodPost, pathChat, brokenBody{})
	request.Header.Set("Authorization", "Bearer key")
	recorder := httptest.NewRecorder()
	router.Routes().ServeHTTP(recorder, request)
	is.Equal(recorder.Code, http.StatusBadRequest)
	is.True(f.served == nil)
}
