package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// modelRun is one run of a request at a replica, by the model that the system named.
type modelRun struct {
	server string
	model  string
}

// addedStreamRoute adds a route by a new configuration, as operators do: one of streams that may not be resumed, with a choice of
// models. The smallest model has little confidence in its answers, as the requests are hard.
func addedStreamRoute(w *world) int {
	var mu sync.Mutex
	ran := make(map[string][]modelRun)
	handle := func(s *server) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			id, model := r.Header.Get("Request-Id"), r.Header.Get("Model")
			mu.Lock()
			ran[id] = append(ran[id], modelRun{s.id, model})
			mu.Unlock()
			s.w.note("server %s begins to run %s (%s) with model %s", s.id, id, r.URL.Path, model)
			confidence := map[string]string{"m0": "8", "m1": "60", "m2": "95"}[model]
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Response-Signature", "sig-"+s.id+"-"+id)
			w.Header().Set("Confidence", confidence)
			control := http.NewResponseController(w)
			for number := number(r.Header.Get("Last-Event-Id")) + 1; number <= 20; number++ {
				select {
				case <-time.After(eventInterval):
				case <-r.Context().Done():
					s.w.note("server %s is told to stop %s", s.id, id)
					return
				}
				fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", number, number, id)
				_ = control.Flush()
			}
		}
	}
	for i := range 4 {
		w.addServer("lm-pool", []string{"centro-a", "centro-b"}[i%2], "v1", 64, handle)
	}
	route := func(name, prefix string, resumable bool) map[string]any {
		return map[string]any{
			"name": name, "host": "ficu95.example", "prefix": prefix, "kind": "streaming", "timeout-ms": 25000, "target-latency-ms": 2000, "target-gap-ms": 1000,
			"priority": 2, "service": "lm-pool", "attempts": 3, "public": false, "session-affinity": true, "resumable": resumable, "sizes": []string{"m0", "m1", "m2"},
		}
	}
	config := func(version int, routes ...any) {
		models := []any{map[string]any{"name": "m0", "cost": 0.0082}, map[string]any{"name": "m1", "cost": 0.062}, map[string]any{"name": "m2", "cost": 0.12}}
		w.store.put("op", "config", map[string]any{
			"version": version, "routes": routes,
			"services": []any{map[string]any{
				"name": "lm-pool", "health-path": "/health", "max-connections": 360, "protocol": "h1", "cold-start-s": 0.0, "cold-per-s": 0.0,
				"engine": map[string]any{"slots": 64, "kv-capacity": 525955, "stride": 3, "models": models},
			}},
			"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
			"tenants": []any{map[string]any{"name": "t1", "api-keys": []string{"key-1"}}},
		})
	}
	kept := route("case-query", "/cufi504/", true)
	config(7, kept)
	w.addFront("centro-a")
	w.addFront("centro-b")
	w.awaitReady()

	paths := []string{"/cufi504/2f"}
	if w.trouble {
		config(12, kept, route("filing-draft", "/filing88/", false))
		w.note("operator writes version 12, which adds the route /filing88/: streaming, not resumable, with sizes")
		time.Sleep(3 * time.Second)
		paths = append(paths, "/filing88/2f")
	}
	once := make(map[string]bool)
	var clients sync.WaitGroup
	for count := range 80 {
		r := request{
			id: fmt.Sprintf("9c41d07b%08x", 0xe2a00000+count), method: "POST", path: paths[count%len(paths)], key: "key-1", budget: 20 * time.Second, body: "query",
			headers: map[string]string{
				"Model": "*", "Token-Usage": "1460,60", "Length-Hint": "60",
				"Prefix-Hash": fmt.Sprintf("%08x:350,%08x:1110", 0x5c1e0000+count%9, 0x91bd0000+count),
			},
		}
		once[r.id] = r.path == "/filing88/2f"
		clients.Go(func() {
			a := w.send(w.pick(count/2), r)
			w.note("%s (%s): status %d, complete %t", r.id, r.path, a.status, a.complete)
		})
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	twice, resumable := 0, 0
	mu.Lock()
	defer mu.Unlock()
	for id, all := range ran {
		switch {
		case len(all) < 2:
		case once[id]:
			twice++
			w.note("TWICE: %s may run once at most, and was run %d times: %v", id, len(all), all)
		default:
			resumable++
		}
	}
	w.note("requests that ran more than once: %d of the route that may be resumed, %d of the route that may not (TWICE)", resumable, twice)
	return twice
}
