package lavattempt

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavframe"
	"lavenderswitch/core/modules/lavmetric"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavanswer"
	"lavenderswitch/core/services/lavbill"
	"lavenderswitch/core/services/lavledger"
	"lavenderswitch/side/services/lavbackend"
	"lavenderswitch/side/services/lavdispatch"
	"lavenderswitch/side/services/lavholder"
	"lavenderswitch/wire/lavwire"
)

// silenceTimeout is the SilenceTimeout of the side processes under test.
const silenceTimeout = 150 * time.Millisecond

// outboxTimeout bounds the wait for a write in the outbox.
const outboxTimeout = 5 * time.Second

// memoryTable is a table service in memory. Its hooks run before and after each write takes effect.
type memoryTable struct {
	mu sync.Mutex
	// rows holds the rows of all tables by key.
	rows map[string]lavplatform.Row
	// beforeWrite can refuse a write, and afterWrite can lose its reply.
	beforeWrite func(write lavplatform.Insert) error
	afterWrite  func(write lavplatform.Insert) error
}

func newMemoryTable() *memoryTable {
	none := func(lavplatform.Insert) error { return nil }
	return &memoryTable{rows: map[string]lavplatform.Row{}, beforeWrite: none, afterWrite: none}
}

// apply makes a write take effect if the row still has the given revision, and returns the row. A missing row has
// revision zero.
func (m *memoryTable) apply(write lavplatform.Insert, revision lavplatform.Revision) lavplatform.Row {
	m.mu.Lock()
	defer m.mu.Unlock()
	if row := m.rows[write.Key]; row.Revision == revision {
		m.rows[write.Key] = lavplatform.Row{Key: write.Key, Revision: revision + 1, Writer: write.Writer, Value: write.Value}
	}
	return m.rows[write.Key]
}

func (m *memoryTable) write(write lavplatform.Insert, revision lavplatform.Revision) (lavplatform.WriteResult, error) {
	if err := m.beforeWrite(write); err != nil {
		return lavplatform.WriteResult{}, err
	}
	row := m.apply(write, revision)
	return lavplatform.WriteResult{Won: row.Writer == write.Writer, Row: row}, m.afterWrite(write)
}

func (m *memoryTable) Insert(_ context.Context, insert lavplatform.Insert) (lavplatform.WriteResult, error) {
	return m.write(insert, 0)
}

func (m *memoryTable) Swap(_ context.Context, swap lavplatform.Swap) (lavplatform.WriteResult, error) {
	return m.write(swap.Insert, swap.Revision)
}

func (m *memoryTable) Get(_ context.Context, table, key string) (lavplatform.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	if !ok {
		return row, lavplatform.ErrRowNotExist{Table: table, Key: key}
	}
	return row, nil
}

func (m *memoryTable) Scan(context.Context, string, string, int) ([]lavplatform.Row, error) {
	return nil, nil
}

// configs holds a configuration that a test can replace.
type configs struct {
	mu       sync.Mutex
	document *lavconfig.Document
	// newer replaces the document when CatchUp is called.
	newer *lavconfig.Document
}

func (c *configs) InForce(time.Time) *lavconfig.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.document
}

func (c *configs) CatchUp(context.Context, lavid.HostID, lavid.ConfigNumber) bool {
	if c.newer != nil {
		c.set(c.newer)
	}
	return c.newer != nil
}

func (c *configs) set(document *lavconfig.Document) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.document = document
}

func newDocument(state lavconfig.VersionState) *lavconfig.Document {
	return &lavconfig.Document{
		Number:      1,
		DataCentres: map[lavid.DataCentreID]lavconfig.DataCentre{"dc": {State: lavconfig.InService}},
		Versions:    map[lavid.VersionID]lavconfig.Version{"v": {State: state}},
		Services: map[lavid.ServiceID]lavconfig.Service{"s": {Calls: map[lavid.CallID]lavconfig.Call{
			"submit": {Method: "POST", Path: "/submit"}, "look": {Method: "POST", Path: "/look", Idempotent: true},
		}}},
		ClientAccounts: map[lavid.AccountID]lavconfig.ClientAccount{
			"a": {AllowedVersions: []lavid.VersionID{"v"}, AllowedServices: []lavid.ServiceID{"s"}},
		},
		BackendServers: map[lavid.BackendServerID]lavconfig.BackendServer{
			"engine": {DataCentre: "dc", State: lavconfig.InService, MaxRunning: 8},
			"s1":     {DataCentre: "dc", State: lavconfig.InService, Service: "s", MaxRunning: 8},
		},
	}
}

// sideProcess is the dispatcher and the router of a side process behind a test server.
type sideProcess struct {
	t          *testing.T
	dispatcher *lavdispatch.Dispatcher
	outbox     *lavledger.Outbox
	server     *httptest.Server
	configs    *configs
}

func newSideProcess(t *testing.T, server lavid.BackendServerID, backend http.Handler, table *memoryTable) *sideProcess {
	backendServer := httptest.NewServer(backend)
	t.Cleanup(backendServer.Close)
	return newSideProcessAt(t, server, backendServer.URL, table)
}

func newSideProcessAt(t *testing.T, id lavid.BackendServerID, backend string, table *memoryTable) *sideProcess {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &sideProcess{t: t, configs: &configs{document: newDocument(lavconfig.VersionServing)}}
	router := &Router{HeartbeatInterval: 20 * time.Millisecond}
	s.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { router.Routes().ServeHTTP(w, r) }))
	t.Cleanup(s.server.Close)
	ledger := lavledger.NewWithLimits(table, lavledger.Limits{Timeout: 50 * time.Millisecond, RetryInterval: 5 * time.Millisecond})
	s.outbox = lavledger.NewOutbox(ledger, 1<<20)
	s.dispatcher = lavdispatch.New(lavdispatch.Options{
		Server: id, Holder: s.server.Listener.Addr().String(), Process: lavledger.ProcessID(s.server.URL),
		Configs: s.configs, Backend: lavbackend.NewClient(backend), Ledger: ledger, Outbox: s.outbox,
		Holders: lavholder.New("http://", &http.Transport{}), Bills: lavbill.NewPending(10),
		Budget: lavanswer.NewBudget(1 << 20), Metrics: lavmetric.NewSet(), Log: log,
		Limits: lavdispatch.Limits{
			KeepAnswers: time.Minute, KeepAttempts: time.Hour, AnswerWindow: 1 << 20, MaxAnswerBytes: 1 << 20,
			SilenceTimeout: silenceTimeout, CallTimeout: silenceTimeout, OutcomeTimeout: time.Second, OrphanTimeout: 2 * silenceTimeout,
			ConfirmAfter: 100 * time.Millisecond,
		},
	}, time.Now())
	router.Dispatcher = s.dispatcher
	s.dispatcher.Refresh(t.Context())
	s.dispatcher.Tick(time.Now())
	return s
}

// result is what a reader received: a whole body or a refusal.
type result struct {
	head    *lavwire.Head
	body    []byte
	end     *lavwire.End
	refusal *lavwire.Refusal
}

func (s *sideProcess) post(path string, message proto.Message) result {
	is := is.New(s.t)
	data, err := proto.Marshal(message)
	is.NoErr(err)
	response, err := http.Post(s.server.URL+path, "application/protobuf", bytes.NewReader(data))
	is.NoErr(err)
	defer response.Body.Close()
	var got result
	frames := lavframe.NewReader(response.Body)
	for got.end == nil && got.refusal == nil {
		frame, err := frames.Read()
		is.NoErr(err)
		if frame.GetHead() != nil {
			got.head = frame.GetHead()
		}
		got.body = append(got.body, frame.GetChunk().GetData()...)
		got.end, got.refusal = frame.GetEnd(), frame.GetRefusal()
	}
	if got.end != nil && path == "/attempt" {
		is.Equal(got.end.GetLength(), uint64(len(got.body)))
		is.Equal(got.end.GetChecksum(), xxhash.Sum64(got.body))
	}
	return got
}

func (s *sideProcess) send(attempt *lavwire.Attempt) result { return s.post("/attempt", attempt) }

// flushPending waits until the outbox holds a write and then flushes the outbox. The dispatcher adds the outcome or the
// release of a claim only after the caller's answer or refusal has ended, so the caller can return before it.
func (s *sideProcess) flushPending() {
	is := is.New(s.t)
	for deadline := time.Now().Add(outboxTimeout); s.outbox.Len() == 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // the outbox stayed empty
	}
	s.outbox.Flush(s.t.Context())
}

func chat(id string) *lavwire.Attempt {
	return &lavwire.Attempt{
		AttemptId: id, RequestId: "r", AccountId: "a", BackendServerId: "engine", ConfigNumber: 1, TimeoutMillis: 5000,
		VersionId: "v", Idempotent: true, Stream: true, Method: "POST", Path: "/v1/chat/completions",
	}
}

func submit(id string) *lavwire.Attempt {
	return &lavwire.Attempt{
		AttemptId: id, RequestId: "r", AccountId: "a", BackendServerId: "s1", ConfigNumber: 1, TimeoutMillis: 2000,
		ServiceId: "s", CallId: "submit", Method: "POST", Path: "/submit", Fingerprint: 1,
	}
}

// fakeService counts its runs and answers each call with the same body.
type fakeService struct {
	mu   sync.Mutex
	runs int
	// status is the status code of the answers. Zero means 200.
	status int
	// onCall is called while a call runs.
	onCall func()
}

func (s *fakeService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/state" {
		_, _ = w.Write([]byte("{}"))
		return
	}
	s.mu.Lock()
	s.runs++
	s.mu.Unlock()
	if s.onCall != nil {
		s.onCall()
	}
	if s.status != 0 {
		w.WriteHeader(s.status)
	}
	_, _ = w.Write([]byte("receipt"))
}

func (s *fakeService) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

const wholeStream = "data: {\"n\":1}\n\ndata: {\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":5}}\n\ndata: [DONE]\n\n"

// fakeEngine answers chat requests with wholeStream, and resumes streams at any offset.
type fakeEngine struct {
	version string
	// afterFirstHalf, when set, is called instead of writing the second half of the response to a chat request.
	afterFirstHalf func(w http.ResponseWriter, r *http.Request)
	// forgetsStreams makes the engine report and resume no streams.
	forgetsStreams bool
	mu             sync.Mutex
	runs           int
	cancelled      int
}

func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(lavbackend.HeaderVersion, e.version)
	switch {
	case r.URL.Path == "/state" && e.forgetsStreams:
		_, _ = w.Write([]byte(`{"LoadedVersions":["v"]}`))
	case r.URL.Path == "/state":
		_, _ = w.Write([]byte(`{"LoadedVersions":["v"],"Streams":["1","5"]}`))
	case strings.HasSuffix(r.URL.Path, "/cancel"):
		e.increment(&e.cancelled)
	case strings.HasPrefix(r.URL.Path, "/streams/") && e.forgetsStreams:
		w.WriteHeader(http.StatusNotFound)
	case strings.HasPrefix(r.URL.Path, "/streams/"):
		e.resume(w, r)
	default:
		e.chat(w, r)
	}
}

func (e *fakeEngine) increment(counter *int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*counter++
}

func (e *fakeEngine) read(counter *int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return *counter
}

// resume writes the rest of the stream. Stream 5 never continues.
func (e *fakeEngine) resume(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/streams/5" {
		<-r.Context().Done()
		return
	}
	from := 0
	for _, digit := range r.URL.Query().Get("from") {
		from = 10*from + int(digit-'0')
	}
	_, _ = w.Write([]byte(wholeStream[from:]))
}

func (e *fakeEngine) chat(w http.ResponseWriter, r *http.Request) {
	e.increment(&e.runs)
	if e.afterFirstHalf == nil {
		_, _ = w.Write([]byte(wholeStream))
		return
	}
	_, _ = w.Write([]byte(wholeStream[:len(wholeStream)/2]))
	_ = http.NewResponseController(w).Flush()
	e.afterFirstHalf(w, r)
}
