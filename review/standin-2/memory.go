package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"
)

// writeConfig writes the operator's configuration.
func (f *fleet) writeConfig(version int, keys ...string) {
	config, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "order", "host": "desk.example", "prefix": "/order/", "kind": "unsafe", "timeout-ms": 4000, "target-latency-ms": 300, "priority": 2, "attempts": 1, "service": "app"},
			map[string]any{"name": "lookup", "host": "desk.example", "prefix": "/lookup/", "kind": "safe", "timeout-ms": 4000, "target-latency-ms": 300, "priority": 2, "attempts": 2, "service": "app"},
			map[string]any{"name": "draft", "host": "desk.example", "prefix": "/stream/", "kind": "streaming", "timeout-ms": 20000, "target-latency-ms": 3000, "target-gap-ms": 1000, "priority": 1, "attempts": 3, "service": "pool", "resumable": true, "session-affinity": true, "sizes": []string{"m0"}},
		},
		"services": []any{
			map[string]any{"name": "app", "health-path": "/health", "max-connections": 100},
			map[string]any{"name": "pool", "health-path": "/health", "max-connections": 620, "engine": map[string]any{"slots": 128, "kv-capacity": 426237, "stride": 3, "models": []any{map[string]any{"name": "m0", "cost": 0.01}}}},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "api-keys": keys}},
	})
	f.store.put("op", "config", string(config))
}

// playMemory plays clients that send large bodies, within the operator's limit, to one of two hosts. The platform kills a process that
// exceeds its memory.
func playMemory(trouble bool) bool {
	const memoryMB = 134
	bodyBytes := 17_000
	if trouble {
		bodyBytes = 4_000_000
	}
	f := newFleet(os.Getenv("WORK"), memoryMB)
	f.writeConfig(1, "key-1")
	for i, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		f.addReplica(fmt.Sprint("app-", i), "app", zone, 1500*time.Millisecond)
		for j := range 4 {
			f.addReplica(fmt.Sprintf("pool-%d-%d", i, j), "pool", zone, 0)
		}
	}
	go f.heartbeats()
	time.Sleep(200 * time.Millisecond)
	h := f.addHost("front-a-1", "zone-a")
	f.addHost("front-b-1", "zone-b")
	f.awaitReady()
	time.Sleep(2 * time.Second)

	peak := 0.0
	var peakMutex sync.Mutex
	go func() {
		for h.isRunning() {
			used := h.privateMB()
			peakMutex.Lock()
			peak = max(peak, used)
			peakMutex.Unlock()
			if used > memoryMB {
				f.record.print("%s uses %.0f MB of %d: the platform kills it", h.name, used, memoryMB)
				_ = h.command.Process.Signal(syscall.SIGKILL)
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()

	end := time.Now().Add(25 * time.Second)
	var clients sync.WaitGroup
	var mutex sync.Mutex
	cut, answered := 0, 0
	for i := range 8 {
		clients.Go(func() {
			var c *connection
			for number := 0; time.Now().Before(end); number++ {
				if c == nil {
					opened, err := dial(h.front)
					if err != nil {
						time.Sleep(300 * time.Millisecond)
						continue
					}
					c = opened
				}
				id := fmt.Sprintf("order-%d-%d", i, number)
				answer := c.send(request{id: id, path: "/order/x", key: "key-1", body: []byte("order"), budget: 4 * time.Second}, 1)
				f.record.add("client %d, request %d on its connection: %s got %d %v", i, c.used, id, answer.status, answer.err)
				runs := 0
				for _, r := range f.replicas {
					runs += r.runsOf(id)
				}
				mutex.Lock()
				if answer.err == nil {
					answered++
				} else if c.used > 1 && runs > 0 {
					cut++
					f.record.add("%s was passed on from a kept connection, which ended without an answer", id)
				}
				mutex.Unlock()
				if answer.err != nil {
					c.Close()
					c = nil
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	body := bytes.Repeat([]byte("p"), bodyBytes)
	for i := range 60 {
		clients.Go(func() {
			c, err := dial(h.front)
			if err != nil {
				return
			}
			defer c.Close()
			id := fmt.Sprint("draft-", i)
			prefix := fmt.Sprintf("Model: *\r\nToken-Usage: 3720,120\r\nPrefix-Hash: 5c1e07a2:2000,%x:1720\r\n", 4096+i)
			answer := c.send(request{id: id, path: "/stream/x", key: "key-1", body: body, budget: 20 * time.Second, header: prefix}, 1)
			f.record.add("%s, %d bytes, got %d with %d bytes, %v", id, bodyBytes, answer.status, len(answer.body), answer.err)
		})
		time.Sleep(100 * time.Millisecond)
	}
	clients.Wait()
	peakMutex.Lock()
	defer peakMutex.Unlock()
	f.record.print("bodies of %d bytes: peak of %s %.0f MB, %d requests answered, %d requests passed on from kept connections cut without an answer", bodyBytes, h.name, peak, answered, cut)
	return cut <= 3
}
