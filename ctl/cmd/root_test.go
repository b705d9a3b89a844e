package lavcmd

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"lavenderswitch/core/modules/lavkey"
)

const document = `{"Number": 7, "DataCentres": {"dc-1": {"State": "InService"}, "dc-2": {"State": "InService"}},
 "Versions": {"a-1": {"Model": "a", "State": "Serving", "InputPrice": 3}},
 "ClientAccounts": {"donativa": {"AllowedVersions": ["a-1"]}, "other": {}},
 "BackendServers": {"engine-1": {"Versions": ["a-1"]}}}`

// fakeEntryHost serves the operator API with a fixed answer and records the last request other than GET /config.
type fakeEntryHost struct {
	*httptest.Server
	ifMatch, patchID, body, query string
	status                        int
	answer                        string
}

func newFakeEntryHost(t *testing.T) *fakeEntryHost {
	host := &fakeEntryHost{status: http.StatusOK, answer: `{"Number":8,"Patch":"p","Reached":["dc-1","dc-2"],"InForce":true}`}
	host.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Authorization") != "Bearer secret" {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		if request.Method == http.MethodGet && request.URL.Path == "/config" {
			_, _ = w.Write([]byte(document))
			return
		}
		var body bytes.Buffer
		_, _ = body.ReadFrom(request.Body)
		host.ifMatch, host.patchID = request.Header.Get("If-Match"), request.Header.Get("Lavender-Patch")
		host.body, host.query = body.String(), request.URL.RawQuery
		w.WriteHeader(host.status)
		_, _ = w.Write([]byte(host.answer))
	}))
	t.Cleanup(host.Close)
	return host
}

// run runs a command line and returns its exit code, output and error text.
func (h *fakeEntryHost) run(t *testing.T, input string, args ...string) (int, string, string) {
	root := newRoot("test")
	var out bytes.Buffer
	root.Writer, root.Reader, root.ErrWriter = &out, strings.NewReader(input), &out
	err := root.Run(t.Context(), append([]string{"lavenderctl", "--address", "http://127.0.0.1:1", "--address", h.URL, "--key", "secret"}, args...))
	if err != nil {
		return exitCode(err), out.String(), err.Error()
	}
	return ExitDone, out.String(), ""
}

// TestChangeCommandsPatchTheCurrentConfiguration guards against a command that submits a wrong patch or bases it on
// another configuration than the current one, and against one that sets the current state again without an error.
func TestChangeCommandsPatchTheCurrentConfiguration(t *testing.T) {
	is := is.New(t)
	host := newFakeEntryHost(t)
	for _, test := range []struct {
		args []string
		body string
	}{
		{[]string{"datacentre", "out", "dc-2"}, `[{"op":"replace","path":"/DataCentres/dc-2/State","value":"OutOfService"}]`},
		{[]string{"server", "out", "engine-1", "--force"}, `"/BackendServers/engine-1/State"`},
		{[]string{"rollout", "withdraw", "a-1"}, `"value":"Withdrawn"`},
		{[]string{"rollout", "start", "a-2", "--replaces", "a-1", "--share", "0.01"}, `"/ClientAccounts/donativa/AllowedVersions/-","value":"a-2"`},
	} {
		code, out, message := host.run(t, "", test.args...)
		is.Equal(message, "")
		is.Equal(code, ExitDone)
		is.True(strings.Contains(out, "accepted as configuration 8"))
		is.Equal(host.ifMatch, `"7"`)
		is.True(strings.Contains(host.body, test.body))
	}
	is.True(strings.Contains(host.body, `"InputPrice":3`)) // copied from the replaced version
	is.True(!strings.Contains(host.body, "other"))         // an account without access to the replaced version
	code, _, message := host.run(t, "", "datacentre", "in", "dc-2")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(message, "already"))
}

// TestExitCodesDistinguishConflictDoubtAndUsage guards against scripts that cannot distinguish a conflict, a patch in
// doubt and a usage error, and against a patch in doubt without the command that repeats it.
func TestExitCodesDistinguishConflictDoubtAndUsage(t *testing.T) {
	is := is.New(t)
	host := newFakeEntryHost(t)
	host.status = http.StatusConflict
	host.answer = `{"error":{"message":"older","code":"conflict"},"Current":9,"Since":[{"Number":9,"Author":"rui","Operations":[]}]}`
	code, _, message := host.run(t, `[]`, "config", "patch", "--base", "7")
	is.Equal(code, ExitConflict)
	is.True(strings.Contains(message, "9 by rui"))
	host.answer = `{"error":{"message":"no reply","code":"in_doubt"}}`
	code, _, message = host.run(t, `[]`, "config", "patch", "--base", "7", "--id", "p-1")
	is.Equal(code, ExitInDoubt)
	is.Equal(host.patchID, "p-1")
	is.True(strings.Contains(message, "--base 7 --id p-1 --file"))
	code, _, _ = host.run(t, "", "datacentre", "out")
	is.Equal(code, ExitUsage)
	code, _, _ = host.run(t, "", "calls", "settle", "--account", "a", "--request", "r", "--attempt", "t")
	is.Equal(code, ExitUsage)
	code, _, _ = host.run(t, "", "config", "patch")
	is.Equal(code, ExitUsage)
	code, _, _ = host.run(t, "", "config", "patch", "--bass", "7")
	is.Equal(code, ExitUsage)
}

// TestDryRunReportsWarningsAndChanges guards against a dry run that does not print the changes, or that succeeds although
// the patch would need --force.
func TestDryRunReportsWarningsAndChanges(t *testing.T) {
	is := is.New(t)
	host := newFakeEntryHost(t)
	host.answer = `{"Number":8,"Faults":null,"Warnings":[{"Path":"/DataCentres","Value":"all out","Remedy":"bring one back"}],"Changes":[{"Path":"/x","Before":1,"After":2}]}`
	code, out, message := host.run(t, "", "datacentre", "out", "dc-2", "--dry-run")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(host.query, "DryRun=true"))
	is.True(strings.Contains(out, "/x"))
	is.True(strings.Contains(message, "--force"))
}

// TestReadCommandsAndHashKeyPrintTheirResults guards against a read command that omits data of the reply, and against a
// hash that differs from the one in configurations.
func TestReadCommandsAndHashKeyPrintTheirResults(t *testing.T) {
	is := is.New(t)
	host := newFakeEntryHost(t)
	host.answer = `{"Number":7,"Self":{"ID":"entry-1"},"Hosts":[{"ID":"side-1","Role":"Side"}],"Servers":[{"ID":"engine-1","Versions":["a-1"]}],"Versions":[{"Version":"a-1","Model":"a"}]}`
	for _, args := range [][]string{{"fleet"}, {"rollout", "list"}, {"config", "get", "--json"}, {"dump"}, {"vars"}} {
		code, out, _ := host.run(t, "", args...)
		is.Equal(code, ExitDone)
		is.True(strings.Contains(out, "a-1"))
	}
	_, out, _ := host.run(t, "secret\n", "hash-key")
	is.Equal(strings.TrimSpace(out), lavkey.Hash("secret"))
	for _, input := range []string{"", "\n", "  \nsecret\n"} {
		code, out, _ := host.run(t, input, "hash-key")
		is.True(code != ExitDone) // no hash of an empty key
		is.Equal(out, "")
	}
}

// TestExplainReadsFilesAndStandardInput guards against an explain command that ignores one of its two inputs, or that
// succeeds without a request id, without lines of the request, or with a file that it cannot read.
func TestExplainReadsFilesAndStandardInput(t *testing.T) {
	is := is.New(t)
	host := newFakeEntryHost(t)
	log := `{"host_id":"entry-1","msg":"refused","request_id":"r-1","status":503,"time":"2026-01-01T00:00:02.000Z"}`
	path := filepath.Join(t.TempDir(), "entry-1.log")
	is.NoErr(os.WriteFile(path, []byte(log), 0o600))
	for _, args := range [][]string{{"explain", "r-1"}, {"explain", "r-1", path}} {
		code, out, _ := host.run(t, log, args...)
		is.Equal(code, ExitDone)
		is.True(strings.Contains(out, "entry-1") && strings.Contains(out, "status=503"))
	}
	code, _, message := host.run(t, log, "explain", "r-2")
	is.Equal(code, ExitFailed)
	is.True(strings.Contains(message, "no line names request"))
	code, _, _ = host.run(t, log, "explain")
	is.Equal(code, ExitUsage)
	code, _, _ = host.run(t, log, "explain", "r-1", path+".missing")
	is.Equal(code, ExitFailed)
}
