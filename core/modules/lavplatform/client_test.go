package lavplatform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// fakeTable is a table service that serves inserts and counts calls. If status is set, every call fails with it.
type fakeTable struct {
	calls  atomic.Int32
	status atomic.Int32
	mu     sync.Mutex
	rows   map[string]Row
}

func (f *fakeTable) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	f.calls.Add(1)
	if status := f.status.Load(); status != 0 {
		w.WriteHeader(int(status))
		return
	}
	var body insertRequest
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	reply := insertReply{}
	for _, insert := range body.Inserts {
		row, ok := f.rows[insert.Key]
		if !ok {
			row = Row{Key: insert.Key, Writer: insert.Writer, Value: insert.Value, Revision: 1}
			f.rows[insert.Key] = row
		}
		reply.Written = append(reply.Written, WriteResult{Won: row.Writer == insert.Writer, Row: row})
	}
	_ = json.NewEncoder(w).Encode(reply)
}

func newFakeTable(t *testing.T) (*fakeTable, *httptest.Server) {
	t.Helper()
	table := &fakeTable{rows: make(map[string]Row)}
	server := httptest.NewServer(table)
	t.Cleanup(server.Close)
	return table, server
}

func newInsert(key, writer string) Insert {
	return Insert{Table: "T", Key: key, Writer: writer, Value: json.RawMessage(`1`)}
}

// TestConcurrentInsertsShareCalls guards against one call for each of many concurrent inserts, and against several writers
// that all win the same key.
func TestConcurrentInsertsShareCalls(t *testing.T) {
	is := is.New(t)
	table, server := newFakeTable(t)
	client := NewClient(server.URL)
	var callers conc.WaitGroup
	var won atomic.Int32
	for i := range 50 {
		callers.Go(func() {
			written, err := client.Insert(t.Context(), newInsert("same", string(rune('A'+i))))
			if err == nil && written.Won {
				won.Add(1)
			}
		})
	}
	callers.Wait()
	is.Equal(won.Load(), int32(1))      // only one writer wins the key
	is.True(table.calls.Load() <= 50/2) // inserts are batched
}

// TestBreakerOpensAndProbes guards against calls to a platform that has failed repeatedly, and against a circuit breaker
// that stays open after a successful probe.
func TestBreakerOpensAndProbes(t *testing.T) {
	is := is.New(t)
	table, server := newFakeTable(t)
	table.status.Store(http.StatusServiceUnavailable)
	client := NewClient(server.URL)
	for range breakerThreshold {
		_, err := client.Insert(t.Context(), newInsert("k", "w"))
		is.True(IsErrStoreUnavailable(err))
	}
	before := table.calls.Load()
	_, err := client.Insert(t.Context(), newInsert("k", "w"))
	is.True(IsErrStoreUnavailable(err))
	is.Equal(table.calls.Load(), before) // an open breaker sends nothing
	table.status.Store(0)
	time.Sleep(breakerProbeInterval + 50*time.Millisecond)
	written, err := client.Insert(t.Context(), newInsert("k", "w"))
	is.NoErr(err) // the successful probe closes the breaker
	is.True(written.Won)
}

// TestBreakerIgnoresAbandonedCalls guards against callers with short deadlines that open the breaker of a healthy platform.
func TestBreakerIgnoresAbandonedCalls(t *testing.T) {
	is := is.New(t)
	tested := &breaker{}
	now := time.Now()
	for range 2 * breakerThreshold {
		tested.record(abandoned, now)
	}
	is.True(tested.allow(now))
}

// TestStalledConnectionIsReplaced guards against calls that hang on a pooled connection whose peer no longer responds.
// The proxy stalls the pooled connection; the next call must succeed over a new connection.
func TestStalledConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	_, server := newFakeTable(t)
	proxy := newStallingProxy(t, server.Listener.Addr().String())
	client := NewClient("http://" + proxy.listener.Addr().String())
	_, err := client.Insert(t.Context(), newInsert("a", "w"))
	is.NoErr(err)
	proxy.stall()
	started := time.Now()
	written, err := client.Insert(t.Context(), newInsert("b", "w"))
	is.NoErr(err)
	is.True(written.Won)
	is.True(time.Since(started) < 2*time.Second) // the stall is detected after hedgeDelay
	started = time.Now()
	_, err = client.Insert(t.Context(), newInsert("c", "w"))
	is.NoErr(err)
	is.True(time.Since(started) < hedgeDelay) // the stalled connection is not reused
}

// TestInsertFailsWhenContextIsCancelled guards against an insert that waits for its batch after its context has ended.
func TestInsertFailsWhenContextIsCancelled(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, server := newFakeTable(t)
	_, err := NewClient(server.URL).Insert(ctx, newInsert("a", "w"))
	is.True(IsErrStoreUnavailable(err))
}

// stallingProxy forwards TCP connections and can stall all of its current connections permanently.
type stallingProxy struct {
	listener    net.Listener
	stalledUpTo atomic.Int32
	accepted    atomic.Int32
}

func newStallingProxy(t *testing.T, target string) *stallingProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &stallingProxy{listener: listener}
	var copiers conc.WaitGroup
	t.Cleanup(func() { listener.Close(); copiers.Wait() })
	copiers.Go(func() {
		for {
			downstream, err := listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", target)
			if err != nil {
				downstream.Close()
				return
			}
			number := p.accepted.Add(1)
			t.Cleanup(func() { downstream.Close(); upstream.Close() })
			copiers.Go(func() { p.copy(number, downstream, upstream) })
			copiers.Go(func() { p.copy(number, upstream, downstream) })
		}
	})
	return p
}

// stall makes all connections accepted so far drop their data.
func (p *stallingProxy) stall() {
	p.stalledUpTo.Store(p.accepted.Load())
}

func (p *stallingProxy) copy(number int32, from, to net.Conn) {
	data := make([]byte, 4096)
	for {
		n, err := from.Read(data)
		if err != nil {
			return
		}
		if number > p.stalledUpTo.Load() {
			_, _ = to.Write(data[:n])
		}
	}
}

// TestRefusedLoadNeverStarts guards against a load that starts because the weight store refused it with a wait of zero.
func TestRefusedLoadNeverStarts(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "0")
		w.WriteHeader(http.StatusTooManyRequests)
	}))
	defer server.Close()
	wait, err := NewClient(server.URL).StartLoad(t.Context(), "v1")
	is.NoErr(err)
	is.True(wait >= minLoadPause)
}
