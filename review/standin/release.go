package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"sync"
	"time"
)

// run is one run of a request at a replica.
type run struct {
	session string
	request string
	version string
	at      time.Time
	failed  bool
}

// runs holds the runs of all replicas, in order.
type runs struct {
	mu  sync.Mutex
	all []run
}

// versionedStream returns a model replica's handler. A bad version fails 40 in 100 of its requests.
func (r *runs) versionedStream(bad func(version string) bool) func(*server) http.HandlerFunc {
	return func(s *server) http.HandlerFunc {
		return func(w http.ResponseWriter, request *http.Request) {
			id := request.Header.Get("Request-Id")
			sum := fnv.New32a()
			_, _ = sum.Write([]byte(id + s.id))
			failed := bad(s.version) && sum.Sum32()%100 < 40
			r.mu.Lock()
			r.all = append(r.all, run{request.Header.Get("Session"), id, s.version, time.Now(), failed})
			r.mu.Unlock()
			s.w.note("server %s (%s) runs %s of session %s, fails: %t", s.id, s.version, id, request.Header.Get("Session"), failed)
			w.Header().Set("Response-Signature", "sig-"+s.id+"-"+id)
			if failed {
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("Confidence", "90")
			control := http.NewResponseController(w)
			for number := number(request.Header.Get("Last-Event-Id")) + 1; number <= 10; number++ {
				select {
				case <-time.After(eventInterval):
				case <-request.Context().Done():
					return
				}
				fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", number, number, id)
				_ = control.Flush()
			}
		}
	}
}

// rolloutState returns the state that the system has written for the operator, and the version that it is about.
func (w *world) rolloutState(service string) (state, to string) {
	row, found := w.store.get("status", "rollout/"+service)
	if !found {
		return "", ""
	}
	var status struct {
		State string `json:"state"`
		To    string `json:"to"`
	}
	must(json.Unmarshal(row.Value, &status))
	return status.State, status.To
}

// releaseAfterRollBack orders a bad release, which is rolled back, and then the next release, while the replicas of the bad one have
// not drained yet.
func releaseAfterRollBack(w *world) int {
	const (
		service   = "lm-pool"
		length    = 34 * time.Second
		orderAt   = 4 * time.Second
		duration  = 24 * time.Second
		clients   = 90
		think     = 700 * time.Millisecond
		perUser   = 6 // requests of a session
		session   = 5 * time.Second
		drains    = 3200 * time.Millisecond // after rolled_back
		timeLimit = 20 * time.Second
	)
	seen := &runs{}
	handle := seen.versionedStream(func(version string) bool { return version == "v2" })
	zones := []string{"centro-a", "centro-b"}
	start := func(version string) {
		for i := range 8 {
			w.addServer(service, zones[i%2], version, 64, handle)
		}
	}
	start("v1")
	w.store.put("op", "config", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "case-query", "host": "ficu95.example", "prefix": "/cufi504/", "kind": "streaming", "timeout-ms": 25000, "target-latency-ms": 2000, "target-gap-ms": 1000,
			"priority": 2, "service": service, "attempts": 3, "public": false, "session-affinity": true, "resumable": true, "sizes": []string{"m0"},
		}},
		"services": []any{map[string]any{
			"name": service, "health-path": "/health", "max-connections": 360, "protocol": "h1", "cold-start-s": 0.0, "cold-per-s": 0.0,
			"engine": map[string]any{"slots": 64, "kv-capacity": 525955, "stride": 3, "models": []any{map[string]any{"name": "m0", "cost": 0.0082}}},
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "t1", "api-keys": []string{"key-1"}}},
	})
	w.addFront("centro-a")
	w.addFront("centro-b")
	w.awaitReady()

	began := time.Now()
	var users sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[string]answer)
	for user := range clients {
		users.Go(func() {
			time.Sleep(time.Duration(user) * (think + 220*time.Millisecond) / clients)
			for count := 0; time.Since(began) < length; count++ {
				r := request{
					id: fmt.Sprintf("9c41%04x%08x", user, count), method: "POST", path: "/cufi504/2f", key: "key-1", budget: timeLimit, body: "query",
					headers: map[string]string{
						"Model": "*", "Token-Usage": "1460,30", "Length-Hint": "30", "Session": fmt.Sprintf("s-%d-%d", user, count/perUser),
						"Prefix-Hash": fmt.Sprintf("%08x:350,%08x:1110", 0x5c1e0000+(user*17+count*31)%113, 0x91bd0000+user*1000+count),
					},
				}
				a := w.send(w.pick(user), r)
				mu.Lock()
				answers[r.id] = a
				mu.Unlock()
				w.note("%s: status %d, complete %t", r.id, a.status, a.complete)
				time.Sleep(think)
			}
		})
	}

	time.Sleep(time.Until(began.Add(orderAt)))
	start("v2")
	time.Sleep(heartbeat)
	w.store.put("op", "rollout/"+service, map[string]any{"service": service, "to": "v2", "duration-s": duration.Seconds()})
	ordered := time.Now()
	w.note("operator orders v2, which fails 40 in 100 of its requests")
	for state := ""; state != "rolled_back"; state, _ = w.rolloutState(service) {
		if time.Since(ordered) > duration/2-drains {
			panic(errCannotRun{"v2 was not rolled back in the first half of its time"})
		}
		time.Sleep(20 * time.Millisecond)
	}
	rolledBack := time.Now()
	w.note("the system reports v2 as rolled_back, %.3f s after the order", rolledBack.Sub(ordered).Seconds())
	go func() {
		time.Sleep(drains)
		w.note("the replicas of v2 report draining")
		for _, s := range w.servers {
			if s.version == "v2" {
				s.state.Store("draining")
				s.writeRow()
			}
		}
	}()
	nextOrder := time.Time{}
	if w.trouble {
		start("v3")
		time.Sleep(500 * time.Millisecond)
		w.store.put("op", "rollout/"+service, map[string]any{"service": service, "to": "v3", "duration-s": duration.Seconds()})
		nextOrder = time.Now()
		w.note("operator orders v3, which is good, %.3f s after v2 was rolled back", nextOrder.Sub(rolledBack).Seconds())
	}
	time.Sleep(time.Until(began.Add(length)))
	users.Wait()

	// PINNED: a request runs on another version than the one before it in its session, which ended less than session-s before: on the
	// new version in the first half of its rollout, or on an old one though the new one is good and not rolled back.
	first := make(map[string]run)
	last := make(map[string]run)
	var order []string
	stale, failed := 0, 0
	for _, each := range seen.all {
		if _, found := first[each.request]; !found {
			first[each.request] = each
			order = append(order, each.request)
		}
		last[each.request] = each
		if each.version == "v2" && each.at.After(rolledBack.Add(time.Second)) {
			stale++
			if each.failed {
				failed++
			}
		}
	}
	before := make(map[string]string)
	moved := 0
	for _, id := range order {
		now := first[id]
		earlier, found := before[now.session]
		before[now.session] = id
		if !found || last[earlier].version == now.version || now.at.Sub(answers[earlier].endedAt) >= session {
			continue
		}
		onNew := now.version == "v2" && now.at.After(ordered) && now.at.Before(ordered.Add(duration/2)) ||
			now.version == "v3" && now.at.Before(nextOrder.Add(duration/2))
		onOld := last[earlier].version == "v3" && now.version != "v3"
		if onNew || onOld {
			moved++
			w.note("PINNED: %s of session %s runs on %s, %.3f s after v2 was rolled back; the request before it ran on %s", id, now.session, now.version, now.at.Sub(rolledBack).Seconds(), last[earlier].version)
		}
	}
	w.note("%d requests, %d runs; runs on v2 later than 1 s after it was rolled back: %d, of which %d failed; PINNED: %d (bound 3)", len(order), len(seen.all), stale, failed, moved)
	if moved > 3 {
		return 1
	}
	return 0
}
