package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// writeLaterConfig writes a configuration that adds a route to a service of its own.
func (f *fleet) writeLaterConfig(version int) {
	route := func(name, prefix, service string) map[string]any {
		return map[string]any{"name": name, "host": "desk.example", "prefix": prefix, "kind": "safe", "timeout-ms": 4000, "target-latency-ms": 300, "priority": 2, "attempts": 2, "service": service}
	}
	config, _ := json.Marshal(map[string]any{
		"version": version,
		"routes":  []any{route("lookup", "/lookup/", "app"), route("later", "/later/", "app-2")},
		"services": []any{
			map[string]any{"name": "app", "health-path": "/health", "max-connections": 100},
			map[string]any{"name": "app-2", "health-path": "/health", "max-connections": 100},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "api-keys": []string{"key-1"}}},
	})
	f.store.put("op", "config", string(config))
	f.record.print("%.1f s: configuration %d adds the route /later/", time.Since(f.record.began).Seconds(), version)
}

// playShadow plays entries of another writer for a service that no configuration names, at the addresses of the replicas of a route
// that was added later.
func playShadow(trouble bool) bool {
	f := newFleet(os.Getenv("WORK"), 134)
	f.writeConfig(1, "key-1")
	for i, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		f.addReplica(fmt.Sprint("app-", i), "app", zone, 30*time.Millisecond)
		f.addReplica(fmt.Sprint("app-2-", i), "app-2", zone, 30*time.Millisecond)
	}
	go f.heartbeats()
	time.Sleep(200 * time.Millisecond)
	f.addHost("front-a-1", "zone-a")
	f.addHost("front-b-1", "zone-b")
	f.awaitReady()
	time.Sleep(2 * time.Second)
	f.writeLaterConfig(2)
	if trouble {
		for i, r := range f.replicas {
			if r.service == "app-2" {
				f.addForeign(fmt.Sprint("w-", i), map[string]any{
					"service": "inventory", "address": r.address, "zone": r.zone, "version": "v1", "slots": 1, "state": "ready", "cold-remaining-ms": 0, "sequence": 1,
				})
			}
		}
	}
	time.Sleep(5 * time.Second)
	began := time.Now()
	var mutex sync.Mutex
	var group sync.WaitGroup
	paths := []string{"/lookup/x", "/later/x"}
	total, served := map[string]int{}, map[string]int{}
	for _, h := range f.hosts {
		for client := range 6 {
			group.Go(func() {
				var c *connection
				for number := 0; time.Since(began) < 20*time.Second; number++ {
					if c == nil {
						opened, err := dial(h.front)
						if err != nil {
							time.Sleep(100 * time.Millisecond)
							continue
						}
						c = opened
					}
					path := paths[number%2]
					id := fmt.Sprintf("%s-%d-%d", h.name, client, number)
					answer := c.send(request{id: id, path: path, key: "key-1", body: []byte("lookup"), budget: 4 * time.Second}, 1)
					f.record.add("%s to %s%s got %d, signature %q, %v", id, h.name, path, answer.status, answer.signature, answer.err)
					mutex.Lock()
					total[path]++
					if answer.status == 200 && answer.signature != "" && answer.err == nil {
						served[path]++
					}
					mutex.Unlock()
					if answer.err != nil {
						c.Close()
						c = nil
					}
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	first, later := float64(served[paths[0]])/float64(total[paths[0]]), float64(served[paths[1]])/float64(total[paths[1]])
	f.record.print("first route: %d of %d served; route that was added later: %d of %d", served[paths[0]], total[paths[0]], served[paths[1]], total[paths[1]])
	return later >= first/4
}
