package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// playForeignEntry plays an entry of another writer, of which fields are missing, among the replicas. At its address is a program that is
// no replica and knows none of the paths.
func playForeignEntry(trouble bool) bool {
	f := newFleet(os.Getenv("WORK"), 134)
	f.writeConfig(1, "key-1")
	for i, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		f.addReplica(fmt.Sprint("app-", i), "app", zone, 30*time.Millisecond)
	}
	go f.heartbeats()
	var foreign atomic.Int64
	listener := listen()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			foreign.Add(1)
			f.record.add("the program at the address of the foreign entry got %s %s, Request-Id %s, Tenant-Id %s", q.Method, q.URL.Path, q.Header.Get("Request-Id"), q.Header.Get("Tenant-Id"))
			w.Header().Set("Connection", "close")
			http.NotFound(w, q)
		}))
	}()
	time.Sleep(200 * time.Millisecond)
	f.addHost("front-a-1", "zone-a")
	f.addHost("front-b-1", "zone-b")
	f.awaitReady()
	time.Sleep(2 * time.Second)
	if trouble {
		entry := map[string]any{"service": "app", "address": listener.Addr().String(), "zone": "zone-a", "state": "ready"}
		if os.Getenv("VARIANT") == "types" {
			entry = map[string]any{"service": "app", "address": listener.Addr().String(), "zone": "zone-a", "state": "ready", "version": "v1", "slots": "64", "cold-remaining-ms": "0", "sequence": "1"}
		}
		f.addForeign("w-1", entry)
	}
	began := time.Now()
	var mutex sync.Mutex
	var group sync.WaitGroup
	total, denied, orders, served, other := 0, 0, 0, 0, 0
	for _, h := range f.hosts {
		for client := range 6 {
			group.Go(func() {
				c, err := dial(h.front)
				if err != nil {
					stop("connect to %s: %v", h.name, err)
				}
				defer func() { c.Close() }()
				for number := 0; time.Since(began) < 10*time.Second; number++ {
					path := []string{"/lookup/x", "/order/x"}[number%2]
					id := fmt.Sprintf("%s-%d-%d", h.name, client, number)
					answer := c.send(request{id: id, path: path, key: "key-1", body: []byte("order"), budget: 4 * time.Second}, 1)
					f.record.add("%s to %s%s got %d, signature %q, %v", id, h.name, path, answer.status, answer.signature, answer.err)
					mutex.Lock()
					total++
					switch {
					case answer.err != nil:
						other++
					case answer.status >= 300 && answer.status < 500 && answer.signature == "" && answer.status != 408 && answer.status != 421 && answer.status != 429:
						denied++
						if path == "/order/x" {
							orders++
						}
					case answer.status == 200:
						served++
					default:
						other++
					}
					mutex.Unlock()
					if answer.err != nil {
						if c, err = dial(h.front); err != nil {
							return
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	allowed := 5 + float64(total)/500
	f.record.print("%d requests: %d served, %d ended with a 3xx or 4xx that no replica gave (%.1f allowed), %d of them orders that may not be repeated; %d others; the foreign program got %d", total, served, denied, allowed, orders, other, foreign.Load())
	return float64(denied) <= allowed
}
