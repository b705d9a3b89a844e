package lavexplain

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
)

const (
	firstLog = `1.0 front-1 {"host_id":"host-1","msg":"sent","request_id":"r-1","backend_server_id":"s-1","ago_ms":900,"time":"2026-01-01T00:00:02.000Z"}
1.0 front-1 {"host_id":"host-1","msg":"send failed","request_id":"r-1","backend_server_id":"s-1","sent":true,"time":"2026-01-01T00:00:01.500Z"}
not a line of ours
{"broken
1.0 front-1 {"host_id":"host-1","msg":"refused","request_id":"r-1","backend_server_id":"s-1","status":502,"time":"2026-01-01T00:00:02.000Z"}
1.0 front-1 {"host_id":"host-1","msg":"answered","request_id":"r-2","backend_server_id":"s-1","time":"2026-01-01T00:00:02.000Z"}
1.0 front-1 {"host_id":"host-1","msg":"backend server gone","backend_server_id":"s-1","time":"2026-01-01T00:00:03.000Z"}
1.0 front-1 {"host_id":"host-1","msg":"backend server gone","backend_server_id":"s-2","time":"2026-01-01T00:00:03.000Z"}
1.0 front-1 {"host_id":"host-1","msg":"store lost","time":"2026-01-01T00:00:00.500Z"}
1.0 front-1 {"host_id":"host-1","msg":"store is back","time":"2026-01-01T00:00:09.000Z"}
`
	secondLog = `{"msg":"store lost","time":"2026-01-01T00:00:01.000Z"}
`
)

func messages(lines []Line) []string {
	var texts []string
	for _, line := range lines {
		texts = append(texts, line.What)
	}
	return texts
}

// TestLinesMergesRequestAndHostLinesInTimeOrder guards against lines that are sorted by the time of logging instead of the
// time of the event, and against lines of other requests, hosts, backend servers or times in the result.
func TestLinesMergesRequestAndHostLinesInTimeOrder(t *testing.T) {
	is := is.New(t)
	reader := NewReader("r-1")
	is.NoErr(reader.Read(strings.NewReader(firstLog), "first.log"))
	is.NoErr(reader.Read(strings.NewReader(secondLog), "second.log"))
	lines, err := reader.Lines(2 * time.Second)
	is.NoErr(err)
	is.Equal(messages(lines), []string{"store lost", "sent", "send failed", "refused", "backend server gone"})
	is.Equal(lines[1].Host, lavid.HostID("host-1"))
	is.Equal(lines[3].Fields["status"], 502.0)
	lines, err = reader.Lines(0)
	is.NoErr(err)
	is.Equal(messages(lines), []string{"sent", "send failed", "refused"})
}

// TestHostFallsBackToLinePrefixThenFileName guards against a line without the field host_id that gets no host or a wrong
// one.
func TestHostFallsBackToLinePrefixThenFileName(t *testing.T) {
	is := is.New(t)
	reader := NewReader("r-1")
	is.NoErr(reader.Read(strings.NewReader(`{"msg":"a","request_id":"r-1","time":"2026-01-01T00:00:00Z"}
2.5 front-2 {"msg":"b","request_id":"r-1","time":"2026-01-01T00:00:01Z"}`), "front-1.log"))
	lines, err := reader.Lines(0)
	is.NoErr(err)
	is.Equal([]lavid.HostID{lines[0].Host, lines[1].Host}, []lavid.HostID{"front-1.log", "front-2"})
}

// TestUnknownRequestReturnsErrRequestNotFound guards against an empty result without an error for a request that no line
// names.
func TestUnknownRequestReturnsErrRequestNotFound(t *testing.T) {
	is := is.New(t)
	reader := NewReader("r-9")
	is.NoErr(reader.Read(strings.NewReader(firstLog), "first.log"))
	_, err := reader.Lines(0)
	is.True(IsErrRequestNotFound(err))
}
