package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// replica is a stand-in of a replica that answers plain requests after some work and streams with events.
type replica struct {
	id, service, zone, version string
	address                    string
	born                       int64
	work                       time.Duration
	events                     int
	gap                        time.Duration
	// first is the time before the first event.
	first  time.Duration
	record *record
	server *http.Server

	mu       sync.Mutex
	sequence int
	state    string
	// silent replicas write no row.
	silent bool
	runs   map[string]int
	// arrived holds when each request arrived.
	arrived map[string]time.Time
	running int
}

// addReplica starts a replica.
func (f *fleet) addReplica(id, service, zone string, work time.Duration) *replica {
	listener := listen()
	r := &replica{
		id: id, service: service, zone: zone, version: "v1", address: listener.Addr().String(), born: time.Now().UnixMilli(),
		work: work, events: 40, gap: 200 * time.Millisecond, record: f.record, state: "ready", runs: make(map[string]int), arrived: make(map[string]time.Time),
	}
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: time.Minute, IdleTimeout: 30 * time.Second}
	go func(l net.Listener) { _ = r.server.Serve(l) }(listener)
	f.replicas = append(f.replicas, r)
	return r
}

// beat writes the row of the replica.
func (r *replica) beat(s *store) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.silent {
		return
	}
	r.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": 64, "state": r.state, "cold-remaining-ms": 0, "sequence": r.sequence, "born": r.born,
	})
	s.put("servers", r.id, string(entry))
}

func (r *replica) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

// ServeHTTP runs a request.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Instance-Id", r.id)
	if expected := q.Header.Get("Expected-Instance"); expected != "" && expected != r.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	r.mu.Lock()
	r.runs[id]++
	r.arrived[id] = time.Now()
	r.running++
	r.mu.Unlock()
	r.record.add("%s runs %s, %d bytes", r.id, id, len(body))
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	timeout, _ := strconv.Atoi(q.Header.Get("Request-Timeout-Ms"))
	ctx, cancel := context.WithTimeout(q.Context(), time.Duration(timeout)*time.Millisecond)
	defer cancel()
	w.Header().Set("Response-Signature", "mac-"+id)
	if strings.HasPrefix(q.URL.Path, "/stream/") {
		r.stream(ctx, w, q, id)
		return
	}
	select {
	case <-time.After(r.work):
		fmt.Fprintf(w, "answer to %s", id)
	case <-ctx.Done():
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

func (r *replica) stream(ctx context.Context, w http.ResponseWriter, q *http.Request, id string) {
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weights-Versions", "1")
	control := http.NewResponseController(w)
	select {
	case <-time.After(r.first):
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	for number := after + 1; number <= r.events; number++ {
		select {
		case <-time.After(r.gap):
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", number, number, id)
		_ = control.Flush()
	}
}

// arrivals returns when each request arrived.
func (r *replica) arrivals() map[string]time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	arrived := make(map[string]time.Time, len(r.arrived))
	for id, at := range r.arrived {
		arrived[id] = at
	}
	return arrived
}
