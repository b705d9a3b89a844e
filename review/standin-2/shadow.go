package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// playShadow plays entries of another writer for a service that no configuration names, at the addresses of the replicas.
func playShadow(trouble bool) bool {
	f := newFleet(os.Getenv("WORK"), 134)
	f.writeConfig(1, "key-1")
	for i, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		f.addReplica(fmt.Sprint("app-", i), "app", zone, 30*time.Millisecond)
	}
	go f.heartbeats()
	time.Sleep(200 * time.Millisecond)
	f.addHost("front-a-1", "zone-a")
	f.addHost("front-b-1", "zone-b")
	f.awaitReady()
	time.Sleep(2 * time.Second)
	if trouble {
		for i, r := range f.replicas {
			f.addForeign(fmt.Sprint("w-", i), map[string]any{
				"service": "inventory", "address": r.address, "zone": r.zone, "version": "v1", "slots": 1, "state": "ready", "cold-remaining-ms": 0, "sequence": 1,
			})
		}
	}
	time.Sleep(5 * time.Second)
	began := time.Now()
	var mutex sync.Mutex
	var group sync.WaitGroup
	counts := make(map[int]int)
	total := 0
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
					path := []string{"/lookup/x", "/order/x"}[number%2]
					id := fmt.Sprintf("%s-%d-%d", h.name, client, number)
					answer := c.send(request{id: id, path: path, key: "key-1", body: []byte("order"), budget: 4 * time.Second}, 1)
					f.record.add("%s to %s%s got %d, %v", id, h.name, path, answer.status, answer.err)
					mutex.Lock()
					total++
					counts[answer.status]++
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
	f.record.print("%d requests, answers by status: %v", total, counts)
	return counts[200] > 0
}
