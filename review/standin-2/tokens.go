package main

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"time"
)

// playTokens plays a busy pool of models, and one request that states more prompt tokens than any replica has memory for.
func playTokens(trouble bool) bool {
	f := newFleet(os.Getenv("WORK"), 134)
	f.writeConfig(1, "key-1")
	for i, zone := range []string{"zone-a", "zone-b", "zone-a"} {
		f.addReplica(fmt.Sprint("app-", i), "app", zone, 800*time.Millisecond)
		pool := f.addReplica(fmt.Sprint("pool-", i), "pool", zone, 0)
		pool.first, pool.events, pool.gap = 1200*time.Millisecond, 10, 100*time.Millisecond
	}
	go f.heartbeats()
	time.Sleep(200 * time.Millisecond)
	h := f.addHost("front-a-1", "zone-a")
	f.addHost("front-b-1", "zone-b")
	f.awaitReady()
	time.Sleep(2 * time.Second)

	end := time.Now().Add(24 * time.Second)
	var clients sync.WaitGroup
	var mutex sync.Mutex
	cut, answered, streams := 0, 0, map[string]int{}
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
	stream := func(id, tokens string) result {
		c, err := dial(h.front)
		if err != nil {
			return result{err: err}
		}
		defer c.Close()
		header := fmt.Sprintf("Model: *\r\nToken-Usage: %s\r\nPrefix-Hash: %s:3720\r\n", tokens, id)
		answer := c.send(request{id: id, path: "/stream/x", key: "key-1", body: bytes.Repeat([]byte("p"), 17_000), budget: 20 * time.Second, header: header}, 1)
		f.record.add("%s, Token-Usage %s, got %d with %d bytes, %v", id, tokens, answer.status, len(answer.body), answer.err)
		return answer
	}
	for i := range 80 {
		clients.Go(func() {
			for number := 0; time.Now().Before(end); number++ {
				answer := stream(fmt.Sprintf("%x", 0x10000+i*100+number), "17020,120")
				mutex.Lock()
				switch {
				case answer.err != nil:
					streams["no answer"]++
				default:
					streams[fmt.Sprint(answer.status)]++
				}
				mutex.Unlock()
				if answer.err != nil || answer.status != 200 {
					time.Sleep(time.Second)
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		answer := stream("abcdef", "10000000000000000000,120")
		f.record.print("%.1f s: the request with Token-Usage 10000000000000000000,120 got %d, %v; %s runs: %v", time.Since(f.record.began).Seconds(), answer.status, answer.err, h.name, h.isRunning())
	}
	clients.Wait()
	f.record.print("%s runs: %v; %d orders answered, %d orders passed on from kept connections cut without an answer; streams %v", h.name, h.isRunning(), answered, cut, streams)
	return cut <= 3
}
