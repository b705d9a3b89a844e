package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// The times of the drill cases, from the start of the traffic.
const (
	copyAt  = 2 * time.Second
	orderAt = 3 * time.Second
	drillAt = 6 * time.Second
	awayFor = time.Second
	addAt   = 7500 * time.Millisecond
	// contact, evacuate and apply are bounds of the site.
	contact  = 3 * time.Second
	evacuate = 5 * time.Second
	apply    = 2 * time.Second
)

// rewriteAt is when the operator writes again what was lost, and endAt the end of the traffic.
var rewriteAt, endAt = 15 * time.Second, 17 * time.Second

// sent is one request of the drill cases.
type sent struct {
	id     string
	host   string
	at     time.Duration
	key    string
	answer result
}

// traffic sends lookups with the keys to a host until the end, each on a new or kept connection.
func (f *fleet) traffic(h *host, began time.Time, keys []string, until time.Duration, all *[]sent, mutex *sync.Mutex, group *sync.WaitGroup) {
	for _, key := range keys {
		for client := range 2 {
			group.Go(func() {
				var c *connection
				for number := 0; time.Since(began) < until; number++ {
					if c == nil {
						opened, err := dial(h.front)
						if err != nil {
							time.Sleep(100 * time.Millisecond)
							continue
						}
						c = opened
					}
					one := sent{id: fmt.Sprintf("%s-%s-%d-%d", h.name, key, client, number), host: h.name, at: time.Since(began), key: key}
					one.answer = c.send(request{id: one.id, path: "/lookup/x", key: key, budget: 4 * time.Second}, 1)
					f.record.add("%s with %s to %s got %d %v", one.id, key, h.name, one.answer.status, one.answer.err)
					mutex.Lock()
					*all = append(*all, one)
					mutex.Unlock()
					if one.answer.err != nil {
						c.Close()
						c = nil
					}
					time.Sleep(150 * time.Millisecond)
				}
			})
		}
	}
}

func (f *fleet) drillFleet() {
	if os.Getenv("START_ERA") != "" {
		fmt.Sscan(os.Getenv("START_ERA"), &f.store.era)
	}
	if os.Getenv("REWRITE_S") != "" {
		var seconds int
		fmt.Sscan(os.Getenv("REWRITE_S"), &seconds)
		rewriteAt = time.Duration(seconds) * time.Second
		endAt = rewriteAt + 2*time.Second
	}
	f.writeConfig(1, "key-1", "key-2")
	for i, zone := range []string{"zone-a", "zone-b", "zone-a", "zone-b"} {
		f.addReplica(fmt.Sprint("app-", i), "app", zone, 30*time.Millisecond)
		f.addReplica(fmt.Sprint("pool-", i), "pool", zone, 0)
	}
	go f.heartbeats()
	time.Sleep(200 * time.Millisecond)
	f.addHost("front-a-1", "zone-a")
	f.addHost("front-b-1", "zone-b")
	f.awaitReady()
	time.Sleep(2 * time.Second)
}

func until(began time.Time, at time.Duration) { time.Sleep(time.Until(began.Add(at))) }

// drill takes the store away and brings it back from a copy; the replicas write their rows again.
func (f *fleet) drill(began time.Time, from backup) {
	until(began, drillAt)
	f.record.print("%.1f s: the store is away", time.Since(began).Seconds())
	f.store.setAway(true)
	until(began, drillAt+awayFor)
	f.store.restore(from)
	for _, r := range f.replicas {
		r.beat(f.store)
	}
	f.record.print("%.1f s: the store is back from a copy that is %s old, Store-Era %d", time.Since(began).Seconds(), drillAt+awayFor-copyAt, f.store.era)
}

// playDrillEvacuation evacuates a zone, and lets the store come back from a copy that lacks the order.
func playDrillEvacuation(trouble bool) bool {
	f := newFleet(os.Getenv("WORK"), 284)
	f.drillFleet()
	began := time.Now()
	var all []sent
	var mutex sync.Mutex
	var group sync.WaitGroup
	for _, h := range f.hosts {
		f.traffic(h, began, []string{"key-1"}, endAt, &all, &mutex, &group)
	}
	until(began, copyAt)
	from := f.store.backup()
	until(began, orderAt)
	f.store.put("op", "evacuate/zone-b", "{}")
	f.record.print("%.1f s: the evacuation of zone-b is acknowledged", time.Since(began).Seconds())
	if trouble {
		f.drill(began, from)
		until(began, rewriteAt)
		f.store.put("op", "evacuate/zone-b", "{}")
		f.record.print("%.1f s: the operator has written the evacuation again", time.Since(began).Seconds())
	}
	group.Wait()
	first := orderAt + evacuate
	if trouble {
		first = max(first, drillAt+awayFor+contact)
	}
	late, served := 0, 0
	for _, r := range f.replicas {
		for id, at := range r.arrivals() {
			if after := at.Sub(began); after > first {
				served++
				if r.zone == "zone-b" {
					late++
					f.record.add("%s arrived at %s in zone-b at %.3f s", id, r.id, after.Seconds())
				}
			}
		}
	}
	f.record.print("%d requests arrived after %s, %d of them in the evacuated zone", served, first, late)
	return late == 0
}

// playDrillKey withdraws a key, lets the store come back from a copy that still holds it, and adds a host.
func playDrillKey(trouble bool) bool {
	f := newFleet(os.Getenv("WORK"), 284)
	f.drillFleet()
	began := time.Now()
	var all []sent
	var mutex sync.Mutex
	var group sync.WaitGroup
	for _, h := range f.hosts {
		f.traffic(h, began, []string{"key-1", "key-2"}, endAt, &all, &mutex, &group)
	}
	until(began, copyAt)
	from := f.store.backup()
	until(began, orderAt)
	f.writeConfig(2, "key-1")
	f.record.print("%.1f s: the configuration without key-2 is acknowledged", time.Since(began).Seconds())
	if trouble {
		f.drill(began, from)
	}
	until(began, addAt)
	added := f.addHost("front-a-2", "zone-a")
	f.traffic(added, began, []string{"key-1", "key-2"}, endAt, &all, &mutex, &group)
	if trouble {
		until(began, rewriteAt)
		f.writeConfig(2, "key-1")
		f.record.print("%.1f s: the operator has written the configuration again", time.Since(began).Seconds())
	}
	group.Wait()
	first := max(orderAt+apply, addAt+contact)
	if trouble {
		first = max(first, drillAt+awayFor+contact)
	}
	late, refused, served := 0, 0, 0
	for _, one := range all {
		if one.at <= first {
			continue
		}
		runs := 0
		for _, r := range f.replicas {
			runs += r.runsOf(one.id)
		}
		switch {
		case one.key == "key-1" && one.answer.status == 200:
			served++
		case one.key == "key-2" && runs > 0:
			late++
			f.record.add("%s ran at %.3f s for the withdrawn key", one.id, one.at.Seconds())
		case one.key == "key-2":
			refused++
		}
	}
	f.record.print("after %s: %d requests with the key that is kept were served, %d with the withdrawn key refused, %d with the withdrawn key ran", first, served, refused, late)
	return late == 0
}
