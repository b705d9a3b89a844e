package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// restartsDuringRelease restarts the entry processes in turn while a release that is bad under load is brought in.
func restartsDuringRelease(w *world) int {
	const (
		service  = "lm-pool"
		orderAt  = 4 * time.Second
		duration = 24 * time.Second
		clients  = 40
		think    = 800 * time.Millisecond
		stopAt   = 6 * time.Second // after the order
		gap      = time.Second
		contact  = 3 * time.Second
		share    = 0.15
		slack    = 30
		// overload is the number of requests in progress above which a replica of the bad version fails.
		overload = 16
	)
	seen := &runs{}
	working := make(map[string]*atomic.Int64)
	stream := seen.versionedStream(func(string) bool { return false })
	handle := func(s *server) http.HandlerFunc {
		working[s.id] = &atomic.Int64{}
		inner, count := stream(s), working[s.id]
		return func(w http.ResponseWriter, r *http.Request) {
			defer count.Add(-1)
			if count.Add(1) > overload && s.version == "v2" {
				s.w.note("server %s (v2) fails %s under load", s.id, r.Header.Get("Request-Id"))
				w.Header().Set("Response-Signature", "sig-"+s.id)
				w.WriteHeader(http.StatusInternalServerError)
				return
			}
			inner(w, r)
		}
	}
	zones := []string{"centro-a", "centro-b"}
	start := func(version string) {
		for i := range 4 {
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
	length := orderAt + heartbeat + duration
	var users sync.WaitGroup
	var mu sync.Mutex
	sentTo := make(map[string]*front)
	for user := range clients {
		users.Go(func() {
			time.Sleep(time.Duration(user) * time.Second / clients)
			for count := 0; time.Since(began) < length; count++ {
				r := request{
					id: fmt.Sprintf("9c41%04x%08x", user, count), method: "POST", path: "/cufi504/2f", key: "key-1", budget: 20 * time.Second, body: "query",
					headers: map[string]string{
						"Model": "*", "Token-Usage": "1460,30", "Length-Hint": "30",
						"Prefix-Hash": fmt.Sprintf("%08x:350,%08x:1110", 0x5c1e0000+(user*17+count*31)%113, 0x91bd0000+user*1000+count),
					},
				}
				f := w.pick(user)
				mu.Lock()
				sentTo[r.id] = f
				mu.Unlock()
				a := w.send(f, r)
				w.note("%s at %s: status %d, complete %t", r.id, f.name, a.status, a.complete)
				time.Sleep(think)
			}
		})
	}
	time.Sleep(time.Until(began.Add(orderAt)))
	start("v2")
	time.Sleep(heartbeat)
	w.store.put("op", "rollout/"+service, map[string]any{"service": service, "to": "v2", "duration-s": duration.Seconds()})
	ordered := time.Now()
	w.note("operator orders v2, which is bad under load, to be done in %s", duration)

	type span struct{ from, to time.Time }
	outOfTouch := make(map[*front]span)
	if w.trouble {
		time.Sleep(time.Until(ordered.Add(stopAt)))
		var restarts sync.WaitGroup
		for _, f := range w.fronts {
			restarts.Go(func() {
				stopped := time.Now()
				w.note("SIGTERM to %s, %.3f s after the order", f.name, stopped.Sub(ordered).Seconds())
				f.terminate()
				time.Sleep(200 * time.Millisecond)
				f.start()
				for !f.ready() {
					time.Sleep(20 * time.Millisecond)
				}
				w.note("%s is back, %.3f s after the order", f.name, time.Since(ordered).Seconds())
				mu.Lock()
				outOfTouch[f] = span{stopped, time.Now().Add(contact)}
				mu.Unlock()
			})
			time.Sleep(gap)
		}
		restarts.Wait()
	}
	time.Sleep(time.Until(began.Add(length)))
	users.Wait()
	state, to := w.rolloutState(service)
	w.note("state of the rollout at the end: %s to %s", state, to)

	all, exposed, later := 0, 0, 0
	mu.Lock()
	defer mu.Unlock()
	for _, each := range seen.all {
		if each.at.Before(ordered) || each.at.After(ordered.Add(duration)) {
			continue
		}
		all++
		if each.version != "v2" {
			continue
		}
		if out, found := outOfTouch[sentTo[each.request]]; found && each.at.After(out.from) && each.at.Before(out.to) {
			later++
			continue
		}
		exposed++
	}
	allowed := share*float64(all) + slack
	w.note("of %d requests that reached the service in the time of the rollout, v2 got %d from machines in touch (and %d from others); allowed %.0f", all, exposed, later, allowed)
	if float64(exposed) > allowed {
		w.note("EXPOSURE")
		return 1
	}
	return 0
}
