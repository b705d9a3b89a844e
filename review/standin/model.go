package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// otherModel adds a route by a new configuration, and then one client asks there for a model that is none of the route's.
func otherModel(w *world) int {
	const timeBudget = 20 * time.Second
	plain := func(s *server) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(60 * time.Millisecond)
			w.Header().Set("Response-Signature", "sig-"+s.id+"-"+r.Header.Get("Request-Id"))
			fmt.Fprint(w, "status of a claim")
		}
	}
	seen := &runs{}
	stream := seen.versionedStream(func(string) bool { return false })
	engine := func(s *server) http.HandlerFunc {
		inner := stream(s)
		return func(w http.ResponseWriter, r *http.Request) {
			if model := r.Header.Get("Model"); model != "m0" {
				s.w.note("server %s answers 421 to %s, which asks for the model %q", s.id, r.Header.Get("Request-Id"), model)
				w.Header().Set("Not-Executed", "1")
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			inner(w, r)
		}
	}
	for i := range 2 {
		w.addServer("claims-app", []string{"centro-a", "centro-b"}[i%2], "v1", 6, plain)
	}
	for i := range 6 {
		w.addServer("lm-pool", []string{"centro-a", "centro-b"}[i%2], "v1", 64, engine)
	}
	lookup := map[string]any{
		"name": "status-lookup", "host": "ficu95.example", "prefix": "/puxa403/", "kind": "safe", "timeout-ms": 2000, "target-latency-ms": 300,
		"priority": 2, "service": "claims-app", "attempts": 2, "public": false,
	}
	query := map[string]any{
		"name": "case-query", "host": "ficu95.example", "prefix": "/cufi504/", "kind": "streaming", "timeout-ms": 25000, "target-latency-ms": 2000, "target-gap-ms": 1000,
		"priority": 2, "service": "lm-pool", "attempts": 3, "public": false, "session-affinity": true, "resumable": true, "sizes": []string{"m0"},
	}
	config := func(version int, routes ...any) {
		w.store.put("op", "config", map[string]any{
			"version": version, "routes": routes,
			"services": []any{
				map[string]any{"name": "claims-app", "health-path": "/health", "max-connections": 100, "protocol": "h1", "cold-start-s": 0.0, "cold-per-s": 0.0},
				map[string]any{
					"name": "lm-pool", "health-path": "/health", "max-connections": 360, "protocol": "h1", "cold-start-s": 0.0, "cold-per-s": 0.0,
					"engine": map[string]any{"slots": 64, "kv-capacity": 525955, "stride": 3, "models": []any{map[string]any{"name": "m0", "cost": 0.0082}}},
				},
			},
			"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
			"tenants": []any{map[string]any{"name": "t1", "api-keys": []string{"key-1"}}},
		})
	}
	config(7, lookup)
	w.addFront("centro-a")
	w.addFront("centro-b")
	w.awaitReady()
	config(12, lookup, query)
	w.note("operator writes version 12, which adds the route /cufi504/")
	time.Sleep(3 * time.Second)

	count := 0
	streamOf := func(model string) request {
		count++
		return request{
			id: fmt.Sprintf("9c41d07b%08x", 0xe2a00000+count), method: "POST", path: "/cufi504/2f", key: "key-1", budget: timeBudget, body: "query",
			headers: map[string]string{"Model": model, "Token-Usage": "1460,30", "Length-Hint": "30", "Prefix-Hash": fmt.Sprintf("%08x:350,%08x:1110", 0x5c1e0000+count%9, 0x91bd0000+count)},
		}
	}
	if w.trouble {
		// One request and its one retry, on a new connection that reaches the other entry process.
		for _, f := range w.fronts {
			r := streamOf("m9")
			a := w.send(f, r)
			w.note("%s, which asks for the model m9, at %s: status %d", r.id, f.name, a.status)
			time.Sleep(time.Second)
		}
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var clients sync.WaitGroup
	asked, served := make(map[string]int), make(map[string]int)
	for i := range 300 {
		kinds := []request{
			streamOf("*"),
			{id: fmt.Sprintf("9c41d08c%08x", i), method: "GET", path: "/puxa403/2f", key: "key-1", budget: 4 * time.Second},
		}
		for _, r := range kinds {
			clients.Go(func() {
				a := w.send(w.pick(i), r)
				w.note("%s (%s) at %s: status %d, complete %t", r.id, r.path, a.front.name, a.status, a.complete)
				mu.Lock()
				defer mu.Unlock()
				asked[r.path]++
				if a.status == http.StatusOK && a.complete && a.header.Get("Response-Signature") != "" {
					served[r.path]++
				}
			})
		}
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	first, added := float64(served["/puxa403/2f"])/float64(asked["/puxa403/2f"]), float64(served["/cufi504/2f"])/float64(asked["/cufi504/2f"])
	w.note("served: %d of %d on the first route, %d of %d on the route that was added later", served["/puxa403/2f"], asked["/puxa403/2f"], served["/cufi504/2f"], asked["/cufi504/2f"])
	if asked["/cufi504/2f"] >= 20 && added < first/4 {
		w.note("CONFIG: the added route is served less than a quarter as often as the first one")
		return 1
	}
	return 0
}
