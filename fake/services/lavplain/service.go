package lavplain

import (
	"io"
	"net/http"
	"sync"

	"lavenderswitch/core/modules/lavhttp"
)

// Service answers every call with the number of times that its request ran.
type Service struct {
	mu   sync.Mutex
	runs map[string]int
}

// New returns a service that has run nothing.
func New() *Service {
	return &Service{runs: make(map[string]int)}
}

type reply struct {
	Request string
	Runs    int
	Bytes   int
}

// Routes returns the handler of every path; GET /runs lists how often each request ran.
func (s *Service) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", s.list)
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { lavhttp.WriteJSON(w, http.StatusOK, struct{}{}) })
	mux.HandleFunc("/", s.call)
	return mux
}

func (s *Service) call(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	id := request.Header.Get("Lavender-Request")
	s.mu.Lock()
	s.runs[id]++
	runs := s.runs[id]
	s.mu.Unlock()
	lavhttp.WriteJSON(w, http.StatusOK, reply{Request: id, Runs: runs, Bytes: len(body)})
}

func (s *Service) list(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lavhttp.WriteJSON(w, http.StatusOK, s.runs)
}
