package lavlosses

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// ended returns the log line of a request that was answered.
func ended(id string, arrivedSecond, input, firstMilliseconds int, more string) string {
	at := time.Unix(int64(1000+arrivedSecond), 0).Add(time.Duration(firstMilliseconds+100) * time.Millisecond)
	return fmt.Sprintf(`host-1 {"msg":"answered","time":%q,"request_id":%q,"route":"draft","account_id":"a","data_centre":"centre-a","took_ms":%d,"first_ms":%d,"events":3,"target_ms":1000,"input_tokens":%d%s}`,
		at.Format(time.RFC3339Nano), id, firstMilliseconds+100, firstMilliseconds, input, more) + "\n"
}

func read(t *testing.T, log string) *Reader {
	t.Helper()
	reader := NewReader()
	is.New(t).NoErr(reader.Read(strings.NewReader(log), "log"))
	return reader
}

// TestLossesAreSummedUp guards against late or failed requests that a sum leaves out, and against ones that it counts twice.
func TestLossesAreSummedUp(t *testing.T) {
	is := is.New(t)
	log := ended("r-1", 0, 100, 400, `,"waited_ms":50,"last_run_ms":350,"confidence":80,"model":"small","longest_pause_ms":70`) +
		`{"msg":"larger model","time":"1970-01-01T00:16:42Z","request_id":"r-2","confidence":20,"gain":0.8,"cost":0.5}` + "\n" +
		ended("r-2", 3, 200, 1500, `,"first_run_ms":300,"dropped_confidence":20,"last_run_ms":1200,"confidence":90`) +
		ended("r-3", 3, 300, 900, `,"confidence":30,"withheld":"time"`) +
		`{"msg":"refused","time":"1970-01-01T00:16:44Z","request_id":"r-4","route":"draft","took_ms":1000,"target_ms":1000,"input_tokens":400}` + "\n" +
		`{"msg":"send failed","time":"1970-01-01T00:16:44Z","request_id":"r-5"}` + "\n" + // its host ended
		`{"msg":"send failed","time":"1970-01-01T00:16:44Z","request_id":"r-1"}` + "\n" + // of another host's log
		"no line of ours\n" + `{"msg":"answered",` + "\n"
	report := read(t, log).Report()
	is.Equal(report.Cut, 1)
	is.Equal(report.Damaged, 1)
	is.Equal(len(report.Routes), 1)
	route := report.Routes[0]
	is.Equal([]int{route.Requests, route.Late, route.Failed, route.Refused, route.Left, route.Dropped, route.Doubtful}, []int{4, 1, 0, 1, 0, 1, 1})
	is.Equal(route.Withheld, map[string]int{"time": 1})
	is.Equal(route.First, Quantiles{Middle: 900 * time.Millisecond, High: 900 * time.Millisecond})
	is.Equal(route.FirstRun.Middle, 300*time.Millisecond)
	is.Equal(len(report.Windows), 2)
	is.Equal(report.Windows[1].Requests, 3)
	is.Equal(report.Windows[1].Cost, 0.5)
	is.Equal(report.Accounts[0].Name, "a")
	is.Equal(report.DataCentres[0].Requests, 3)
}

// TestLengthClassesFollowTheRequestsOfARoute guards against a longest tenth that hides among the other requests of its route.
func TestLengthClassesFollowTheRequestsOfARoute(t *testing.T) {
	is := is.New(t)
	var log strings.Builder
	for i := range 100 {
		log.WriteString(ended(fmt.Sprint("r-", i), 0, 1000+i, 10*i, ""))
	}
	counts := make(map[string]int)
	for _, group := range read(t, log.String()).Report().Lengths {
		counts[group.Name] = group.Requests
	}
	is.Equal(counts, map[string]int{"draft, 1 to the half": 50, "draft, 2 to 0.7": 20, "draft, 3 to 0.9": 20, "draft, 4 longest tenth": 10})
}

// TestLongLineIsPassedOver guards against a damaged log that ends the reading, or fills the memory.
func TestLongLineIsPassedOver(t *testing.T) {
	is := is.New(t)
	log := `{"msg":"` + strings.Repeat("x", 3*maxLineBytes) + "\n" + ended("r-1", 0, 100, 400, "")
	report := read(t, log).Report()
	is.Equal(report.Routes[0].Requests, 1)
	is.True(report.Damaged > 0)
}

// TestPlotWritesADrawing guards against a drawing that is empty or fails, also without requests.
func TestPlotWritesADrawing(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "hour.svg")
	is.NoErr(read(t, ended("r-1", 0, 100, 400, "")+ended("r-2", 9, 100, 4000, "")).Report().Plot(file))
	drawn, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(strings.Contains(string(drawn), "failed or refused"))
	is.True(read(t, "").Report().Plot(file) != nil)
}
