package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	program   = "target/lavenderswitch-platform"
	heartbeat = 1200 * time.Millisecond
	graceTime = 8 * time.Second
)

// bounds are those of the small deployments' sheets.
var bounds = map[string]any{
	"DrainMilliseconds": 2000, "GraceSeconds": 8, "ConfigApplyMilliseconds": 2000, "FailClosed": false, "RevokeMilliseconds": 5000,
	"RetryRatio": 0.9, "RetryWindowSeconds": 10, "RetrySlack": 54, "ExposureShare": 0.15, "ExposureSlack": 30, "ColdOverage": 1.5, "SessionSeconds": 5,
}

// errCannotRun ends a case that could not run.
type errCannotRun struct{ reason string }

func (e errCannotRun) Error() string { return e.reason }

func must(err error) {
	if err != nil {
		panic(errCannotRun{err.Error()})
	}
}

// world is a small deployment: a store, replicas, fronts and clients, with a record of what was seen.
type world struct {
	trouble bool
	dir     string
	network string
	store   *store
	began   time.Time
	fronts  []*front
	servers []*server
	stopped chan struct{}
	cleanup []func()

	mu     sync.Mutex
	record *os.File
}

func newWorld(record string) *world {
	file, err := os.Create(record)
	must(err)
	dir, err := os.MkdirTemp("", "review")
	must(err)
	pid := os.Getpid()
	w := &world{
		trouble: os.Getenv("TROUBLE") != "0", dir: dir, network: fmt.Sprintf("127.%d.%d", 60+pid/250%100, 1+pid%250),
		store: newStore(), began: time.Now(), stopped: make(chan struct{}), record: file,
	}
	listener, err := net.Listen("tcp4", w.network+".250:7000")
	must(err)
	storeServer := &http.Server{Handler: w.store}
	go func() { _ = storeServer.Serve(listener) }()
	w.cleanup = append(w.cleanup, func() { _ = storeServer.Close() })
	return w
}

func (w *world) storeAddress() string { return w.network + ".250:7000" }

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f s  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) close() {
	close(w.stopped)
	for _, f := range w.fronts {
		f.kill()
	}
	for _, s := range w.servers {
		s.crash()
	}
	for _, each := range w.cleanup {
		each()
	}
	_ = os.RemoveAll(w.dir)
	_ = w.record.Close()
}

// front is one entry process.
type front struct {
	w       *world
	name    string
	ip      string
	zone    string
	command *exec.Cmd
	ended   chan struct{}
	misses  atomic.Int64
}

func (f *front) address() string { return f.ip + ":8227" }

// addFront starts an entry process with the settings of a small deployment's front machine.
func (w *world) addFront(zone string) *front {
	number := len(w.fronts) + 1
	f := &front{w: w, name: fmt.Sprintf("front-%s-%d", zone, number), ip: fmt.Sprintf("%s.%d", w.network, number), zone: zone}
	w.fronts = append(w.fronts, f)
	settings := map[string]any{
		"HostID": f.name, "DataCentre": zone, "Regions": map[string]string{"centro-a": "ar-centro", "centro-b": "ar-centro"}, "IP": f.ip,
		"CallerAddress": f.address(), "ReadinessAddress": f.ip + ":8220", "FirstInternalPort": 7340, "LastInternalPort": 7355,
		"MemoryMegabytes": 284, "LinkMegabits": 1000.0, "Processors": 0.304, "StoreAddress": w.storeAddress(), "HeartbeatMilliseconds": heartbeat.Milliseconds(), "Bounds": bounds,
	}
	data, err := json.Marshal(settings)
	must(err)
	must(os.WriteFile(filepath.Join(w.dir, f.name+".json"), data, 0o600))
	f.start()
	return f
}

func (f *front) start() {
	log, err := os.OpenFile(filepath.Join(f.w.dir, f.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	f.command = exec.Command(program, "run")
	f.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAVENDERSWITCH_SETTINGS=" + filepath.Join(f.w.dir, f.name+".json")}
	f.command.Stdout, f.command.Stderr = log, log
	f.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(f.command.Start())
	f.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}(f.command, f.ended)
}

func (f *front) signal(s syscall.Signal) { _ = f.command.Process.Signal(s) }

func (f *front) kill() {
	select {
	case <-f.ended:
	default:
		_ = f.command.Process.Kill()
		<-f.ended
	}
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after the grace.
func (f *front) terminate() {
	f.signal(syscall.SIGTERM)
	select {
	case <-f.ended:
	case <-time.After(graceTime):
		f.kill()
	}
}

func (f *front) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + f.ip + ":8220/lavenderswitch/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == 200
}

// awaitReady waits until all fronts are ready, and begins to check them once a second, as the platform's balancer does.
func (w *world) awaitReady() {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, f := range w.fronts {
			if f.ready() {
				ready++
			}
		}
		if ready == len(w.fronts) {
			break
		}
		if time.Now().After(end) {
			panic(errCannotRun{"the entry processes did not become ready"})
		}
	}
	for _, f := range w.fronts {
		go func() {
			for !w.isStopped() {
				if f.ready() {
					f.misses.Store(0)
				} else {
					f.misses.Add(1)
				}
				time.Sleep(time.Second)
			}
		}()
	}
}

func (w *world) isStopped() bool {
	select {
	case <-w.stopped:
		return true
	default:
		return false
	}
}

// pick returns the front to which the balancer sends a new connection: one of those with fewer than two misses in a row.
func (w *world) pick(hash int) *front {
	var in []*front
	for _, f := range w.fronts {
		if f.misses.Load() < 2 {
			in = append(in, f)
		}
	}
	if len(in) == 0 {
		in = w.fronts
	}
	return in[hash%len(in)]
}

// request is one client attempt.
type request struct {
	id      string
	method  string
	path    string
	key     string
	budget  time.Duration
	headers map[string]string
	body    string
}

// answer is what a client saw of a request.
type answer struct {
	front    *front
	sentAt   time.Time
	endedAt  time.Time
	status   int
	header   http.Header
	body     string
	complete bool
	// begun states that the head of an answer arrived.
	begun bool
	err   error
}

// send sends a request over a new connection and reads the answer to its end.
func (w *world) send(f *front, r request) answer {
	a := answer{front: f}
	conn, err := net.DialTimeout("tcp4", f.address(), time.Second)
	if err != nil {
		a.err, a.endedAt = err, time.Now()
		return a
	}
	defer conn.Close()
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: %d\r\nAuthorization: Bearer %s\r\n", r.method, r.path, r.id, r.budget.Milliseconds(), r.key)
	for name, value := range r.headers {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	_ = conn.SetDeadline(time.Now().Add(r.budget + 2*time.Second))
	if _, err = io.WriteString(conn, text.String()); err != nil {
		a.err, a.endedAt = err, time.Now()
		return a
	}
	a.sentAt = time.Now()
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.method})
	if err != nil {
		a.err, a.endedAt = err, time.Now()
		return a
	}
	a.begun, a.status, a.header = true, response.StatusCode, response.Header
	body, err := io.ReadAll(response.Body)
	a.body, a.err, a.complete, a.endedAt = string(body), err, err == nil, time.Now()
	return a
}

// server is a stand-in for a replica.
type server struct {
	w       *world
	id      string
	service string
	zone    string
	version string
	slots   int
	address string
	born    int64
	http    *http.Server
	cold    atomic.Int64
	state   atomic.Value
	leaving atomic.Bool
	gone    atomic.Bool
	handle  http.HandlerFunc
}

// addServer starts a replica, which writes its row at each heartbeat.
func (w *world) addServer(service, zone, version string, slots int, handle func(*server) http.HandlerFunc) *server {
	number := len(w.servers) + 1
	s := &server{w: w, id: fmt.Sprintf("i-%04x", 0x7f3a+number*977), service: service, zone: zone, version: version, slots: slots, born: time.Now().UnixMilli()}
	s.address = fmt.Sprintf("%s.%d:8640", w.network, 100+number)
	s.state.Store("ready")
	s.handle = handle(s)
	listener, err := net.Listen("tcp4", s.address)
	must(err)
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(listener) }()
	w.servers = append(w.servers, s)
	s.writeRow()
	go func() {
		for !w.isStopped() && !s.gone.Load() {
			time.Sleep(heartbeat)
			if !s.gone.Load() {
				s.writeRow()
			}
		}
	}()
	return s
}

var sequence atomic.Int64

func (s *server) writeRow() {
	s.w.store.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots, "state": s.state.Load(),
		"cold-remaining-ms": s.cold.Load(), "sequence": sequence.Add(1), "born": s.born,
	})
}

func (s *server) crash() {
	s.gone.Store(true)
	_ = s.http.Close()
}

// serve rejects what is meant for another replica, and passes on the rest.
func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header()["Date"] = nil
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.handle(w, r)
}

func number(text string) int {
	value, _ := strconv.Atoi(text)
	return value
}

// runCase runs a case and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func runCase(record string, play func(*world) (broken int)) {
	code := 2
	func() {
		var w *world
		defer func() {
			if failed := recover(); failed != nil {
				fmt.Fprintln(os.Stderr, "cannot run:", failed)
				code = 2
			}
			if w != nil {
				if os.Getenv("KEEP_LOGS") != "" {
					for _, f := range w.fronts {
						data, _ := os.ReadFile(filepath.Join(w.dir, f.name+".log"))
						_ = os.WriteFile(filepath.Join(os.Getenv("KEEP_LOGS"), f.name+".log"), data, 0o600)
					}
				}
				w.close()
			}
		}()
		w = newWorld(record)
		if play(w) > 0 {
			code = 1
		} else {
			code = 0
		}
	}()
	os.Exit(code)
}

func main() {
	cases := map[string]func(*world) int{
		"other-model":               otherModel,
		"restarts-during-release":   restartsDuringRelease,
		"added-stream-route":        addedStreamRoute,
		"stop-with-waiting-streams": stopWithWaitingStreams,
		"release-after-roll-back":   releaseAfterRollBack,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	runCase(os.Args[2], cases[os.Args[1]])
}
