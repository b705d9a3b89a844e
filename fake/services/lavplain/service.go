package lavplain

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
	"lavenderswitch/fake/services/lavjournal"
)

const (
	headerAttempt = "Lavender-Attempt"
	headerRequest = "Lavender-Request"

	maxBodyBytes = 8 << 20
)

// Settings are the settings of a plain service.
type Settings struct {
	// Latency is the duration of a call.
	Latency time.Duration
	// Capacity is the number of calls that may run at the same time. Zero sets no limit.
	Capacity int
	// Journal keeps the runs across a restart. With nil, they are not kept.
	Journal Journal
}

// Journal stores a run before it starts.
type Journal interface {
	Append(run lavtruth.Run) error
}

// Service answers every call with the number of times that its request ran.
type Service struct {
	settings Settings
	faults   *lavfault.Injector
	mu       sync.Mutex
	running  int
	// counts holds the number of runs by request id.
	counts map[string]int
	runs   []*lavtruth.Run
	truth  lavtruth.Backend
}

// New returns a service without runs.
func New(settings Settings, faults *lavfault.Injector, now time.Time) *Service {
	if settings.Journal == nil {
		settings.Journal = &lavjournal.Journal{}
	}
	service := &Service{settings: settings, faults: faults, counts: make(map[string]int)}
	service.truth.Started = now
	return service
}

// Restore adds the runs of an earlier process to the ground truth.
func (s *Service) Restore(runs []lavtruth.Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, run := range runs {
		s.counts[string(run.Request)]++
		s.runs = append(s.runs, &run)
	}
}

type stateReply struct {
	Running int
	Waiting int
}

// Routes returns the handler of all paths. GET /runs lists how often each request ran.
func (s *Service) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", s.listRuns)
	mux.HandleFunc("GET /truth", s.showTruth)
	mux.HandleFunc("POST /control", s.faults.Control)
	mux.HandleFunc("GET /state", s.state)
	mux.HandleFunc("/", s.serveCall)
	return mux
}

func (s *Service) serveCall(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBodyBytes))
	if err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindTooLarge, "body is too large or incomplete", "send a smaller or complete body"))
		return
	}
	arrived := time.Now()
	ctx := context.WithoutCancel(request.Context())
	if !s.faults.Admit(ctx, faultCall(lavtruth.StepArrive, request)) {
		lavfault.WriteRefusal(w)
		return
	}
	run, runs, ok := s.start(request, arrived)
	if !ok {
		lavhttp.WriteError(w, laverror.New(laverror.KindOverloaded, "service is at its capacity", "send fewer calls at a time"))
		return
	}
	time.Sleep(s.settings.Latency)
	s.end(run, time.Now())
	if !s.faults.Admit(ctx, faultCall(lavtruth.StepRan, request)) {
		panic(http.ErrAbortHandler)
	}
	s.writeReply(ctx, w, request, lavtruth.ServiceReply{
		Request: string(run.Request),
		Attempt: string(run.Attempt),
		Runs:    runs,
		Bytes:   len(body),
		Digest:  lavtruth.Digest(body),
	})
}

func faultCall(step lavtruth.Step, request *http.Request) lavfault.Call {
	return lavfault.Call{HeldCall: lavtruth.HeldCall{
		Step:    step,
		Attempt: lavid.AttemptID(request.Header.Get(headerAttempt)),
		Request: lavid.RequestID(request.Header.Get(headerRequest)),
	}}
}

// start records a run and returns it with the number of runs of its request. The last result is false when the service
// is at its capacity or the journal cannot be written.
func (s *Service) start(request *http.Request, now time.Time) (*lavtruth.Run, int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	capacity := s.settings.Capacity
	if capacity > 0 && s.running >= capacity {
		s.truth.Overloads++
		return nil, 0, false
	}
	id := request.Header.Get(headerRequest)
	run := &lavtruth.Run{
		Request:  lavid.RequestID(id),
		Attempt:  lavid.AttemptID(request.Header.Get(headerAttempt)),
		Path:     request.URL.Path,
		Arrived:  now,
		Running:  s.running + 1,
		Capacity: capacity,
	}
	if err := s.settings.Journal.Append(*run); err != nil {
		return nil, 0, false // a call that is not on record does not run
	}
	s.running++
	s.truth.MaxRunning = max(s.truth.MaxRunning, s.running)
	s.counts[id]++
	s.runs = append(s.runs, run)
	return run, s.counts[id], true
}

func (s *Service) end(run *lavtruth.Run, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	run.Ended = now
	run.Whole = true
}

// writeReply writes the reply in two halves, with fault steps between them and before the end of the response.
func (s *Service) writeReply(ctx context.Context, w http.ResponseWriter, request *http.Request, reply lavtruth.ServiceReply) {
	data, err := json.Marshal(reply)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	half := len(data) / 2
	_, _ = w.Write(data[:half])
	_ = http.NewResponseController(w).Flush()
	if !s.faults.Admit(ctx, faultCall(lavtruth.StepHalf, request)) {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(data[half:])
	if !s.faults.Admit(ctx, faultCall(lavtruth.StepEnd, request)) {
		panic(http.ErrAbortHandler)
	}
}

func (s *Service) state(w http.ResponseWriter, request *http.Request) {
	if !s.faults.Admit(request.Context(), faultCall(lavtruth.StepState, request)) {
		lavfault.WriteRefusal(w)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	lavhttp.WriteJSON(w, http.StatusOK, stateReply{Running: s.running})
}

func (s *Service) listRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lavhttp.WriteJSON(w, http.StatusOK, s.counts)
}

func (s *Service) showTruth(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	truth := s.truth
	truth.Runs = make([]lavtruth.Run, 0, len(s.runs))
	for _, run := range s.runs {
		truth.Runs = append(truth.Runs, *run)
	}
	s.mu.Unlock()
	truth.Holding = slices.Clone(s.faults.HeldCalls())
	lavhttp.WriteJSON(w, http.StatusOK, truth)
}
