package lavdispatch

import (
	"net/http"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"lavenderswitch/wire/lavwire"
)

// FuzzWellFormed decodes arbitrary bytes as an attempt. An attempt that is accepted must lead to a request to the backend
// server and to no other host, and its id must fit into a header.
func FuzzWellFormed(f *testing.F) {
	valid, _ := proto.Marshal(&lavwire.Attempt{
		AttemptId: "1", RequestId: "r", AccountId: "a", VersionId: "v", TimeoutMillis: 1, Method: "POST", Path: "/p",
	})
	f.Add(valid)
	f.Add(valid[:len(valid)-2])
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, data []byte) {
		attempt := &lavwire.Attempt{}
		if proto.Unmarshal(data, attempt) != nil {
			return
		}
		if _, ok := wellFormed(attempt); !ok {
			return
		}
		request, err := http.NewRequest(attempt.GetMethod(), "http://127.0.0.1"+attempt.GetPath(), nil)
		if err != nil || request.URL.Host != "127.0.0.1" {
			t.Fatalf("attempt leads to request %v, error %v", request, err)
		}
		if strings.ContainsAny(attempt.GetAttemptId(), "\r\n") {
			t.Fatal("attempt id does not fit a header")
		}
	})
}
