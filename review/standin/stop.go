package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The engine's figures are those of the sheet: prompts are read one after the other at 62.4 tokens a ms.
const tokensPer10Milliseconds = 624

// engine is a model replica that reads one prompt after the other and then sends the events of the answer.
type engine struct {
	*server
	reading sync.Mutex

	mu   sync.Mutex
	work map[string][]span
}

// readTime returns how long an engine reads the prompt of a request.
func readTime(r *http.Request) time.Duration {
	input, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	return time.Duration(number(input)) * time.Millisecond * 10 / tokensPer10Milliseconds
}

// span is a time in which a replica was at work on a request, or had it in its queue.
type span struct{ from, to time.Time }

const (
	eventsOut     = 40
	eventInterval = 20 * time.Millisecond
)

func newEngine(s *server) *engine { return &engine{server: s, work: make(map[string][]span)} }

func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	from := time.Now()
	defer func() {
		e.mu.Lock()
		e.work[id] = append(e.work[id], span{from, time.Now()})
		e.mu.Unlock()
	}()
	e.reading.Lock()
	if r.Context().Err() != nil {
		e.reading.Unlock()
		return
	}
	e.w.note("server %s runs %s", e.id, id)
	select {
	case <-time.After(readTime(r)):
	case <-r.Context().Done():
	}
	e.reading.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Signature", "sig-"+e.id+"-"+id)
	w.Header().Set("Confidence", "90")
	control := http.NewResponseController(w)
	for number := number(r.Header.Get("Last-Event-Id")) + 1; number <= eventsOut; number++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", number, number, id)
		_ = control.Flush()
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// kind is a kind of streaming request of the sheet.
type kind struct {
	name       string
	prefix     string
	perSecond  float64
	shared     int
	own        int
	aim        int
	timeBudget int
	priority   int
}

var kinds = []kind{
	{"dossier-draft", "/lohu930/", 8.77, 13_300, 3_720, 4000, 20000, 1},
	{"declaration-review", "/pufi791/", 7.12, 6_300, 2_890, 3000, 10000, 0},
	{"case-query", "/cufi504/", 9.49, 350, 1_110, 2000, 25000, 2},
}

// spread returns a size around a mean, from 0.4 to 1.6 times as large.
func spread(mean, count int) int { return mean*4/10 + count*7_919%(mean*12/10) }

// stopWithWaitingStreams restarts two entry processes in turn with SIGTERM while more streams are asked for than the engines can
// read, so that some of them wait at the entry process. The clients and the engines are sound, and nothing else happens.
func stopWithWaitingStreams(w *world) int {
	const (
		length    = 42 * time.Second
		firstStop = 14 * time.Second
		stopGap   = 14 * time.Second
	)
	var engines []*engine
	for i := range 3 {
		w.addServer("lm-pool", []string{"centro-a", "centro-b", "centro-a"}[i], "v1", 64, func(s *server) http.HandlerFunc {
			engines = append(engines, newEngine(s))
			return engines[i].serveStream
		})
	}
	var routes []any
	for _, k := range kinds {
		routes = append(routes, map[string]any{
			"name": k.name, "host": "ficu95.example", "prefix": k.prefix, "kind": "streaming", "timeout-ms": k.timeBudget, "target-latency-ms": k.aim, "target-gap-ms": 1000,
			"priority": k.priority, "service": "lm-pool", "attempts": 3, "public": false, "session-affinity": true, "resumable": true, "sizes": []string{"m0"},
		})
	}
	w.store.put("op", "config", map[string]any{
		"version": 7, "routes": routes,
		"services": []any{map[string]any{
			"name": "lm-pool", "health-path": "/health", "max-connections": 360, "protocol": "h1", "cold-start-s": 3.0, "cold-per-s": 5.9,
			"engine": map[string]any{"slots": 64, "kv-capacity": 525955, "stride": 3, "models": []any{map[string]any{"name": "m0", "cost": 0.0082}}},
		}},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": "t1", "api-keys": []string{"key-1"}}, map[string]any{"name": "t2", "api-keys": []string{"key-2"}}},
	})
	w.addFront("centro-a")
	w.addFront("centro-b")
	w.awaitReady()

	began := time.Now()
	type sent struct {
		request
		answer
	}
	var mu sync.Mutex
	var all []sent
	var clients sync.WaitGroup
	terminated := make(map[*front]time.Time)
	for i, f := range w.fronts {
		terminated[f] = began.Add(firstStop + time.Duration(i)*stopGap)
	}
	var stopping sync.WaitGroup
	stopping.Go(func() {
		for _, f := range w.fronts {
			time.Sleep(time.Until(terminated[f]))
			if !w.trouble {
				continue
			}
			w.note("SIGTERM to %s", f.name)
			f.terminate()
			w.note("%s has ended and is started again", f.name)
			time.Sleep(200 * time.Millisecond)
			f.start()
		}
	})
	asked := make([]float64, len(kinds))
	for count := 0; time.Since(began) < length; count++ {
		// The kind whose next request is due first.
		next := 0
		for i, k := range kinds {
			if (asked[i]+1)/k.perSecond < (asked[next]+1)/kinds[next].perSecond {
				next = i
			}
		}
		asked[next]++
		k := kinds[next]
		due := began.Add(time.Duration(asked[next] / k.perSecond * float64(time.Second)))
		shared, own := spread(k.shared, count), spread(k.own, count+7)
		r := request{
			id: fmt.Sprintf("9c41d07b%08x", 0xe2a00000+count), method: "POST", path: k.prefix + "2f", key: fmt.Sprintf("key-%d", 1+count%2), budget: time.Duration(k.timeBudget) * time.Millisecond,
			headers: map[string]string{"Model": "*", "Token-Usage": fmt.Sprintf("%d,120", shared+own), "Prefix-Hash": fmt.Sprintf("%08x:%d,%08x:%d", 0x5c1e0000+count, shared, 0x91bd0000+count, own), "Length-Hint": "120"},
			body:    "draft",
		}
		f := w.pick(count / 2)
		clients.Go(func() {
			a := w.send(f, r)
			mu.Lock()
			all = append(all, sent{r, a})
			mu.Unlock()
			w.note("%s (%s) at %s: ended %.3f s after it was sent, status %d, complete %t, error %v", r.id, k.name, f.name, a.endedAt.Sub(a.sentAt).Seconds(), a.status, a.complete, a.err)
		})
		time.Sleep(time.Until(due))
	}
	stopping.Wait()
	clients.Wait()
	broken := 0
	for _, each := range all {
		a := each.answer
		stop := terminated[a.front]
		switch {
		case a.sentAt.IsZero() || a.complete:
		case a.endedAt.Before(stop) || a.endedAt.After(stop.Add(graceTime+time.Second)):
		case a.endedAt.Sub(a.sentAt) <= 200*time.Millisecond && !worked(engines, each.id):
			// Within lost-slack-ms, and not passed on.
		case a.endedAt.Sub(a.sentAt) >= each.budget:
		case workedSince(engines, each.id, stop.Add(graceTime*5/6)) && a.sentAt.Before(stop.Add(3*time.Second)):
			// The replica was at work on it in the last sixth of the grace.
		default:
			broken++
			w.note("LOST: %s (%s) was sent to %s %.3f s after SIGTERM and read whole; its connection ended %.3f s later, without an answer (head of an answer: %t, passed on to a replica: %t)", each.id, each.path, a.front.name, a.sentAt.Sub(stop).Seconds(), a.endedAt.Sub(a.sentAt).Seconds(), a.begun, worked(engines, each.id))
		}
	}
	statuses := make(map[int]int)
	for _, each := range all {
		if each.answer.complete {
			statuses[each.answer.status]++
		} else {
			statuses[0]++
		}
	}
	w.note("%d requests; answers by status (0: none or incomplete): %v; LOST: %d", len(all), statuses, broken)
	return broken
}

// worked reports whether a replica had a request.
func worked(engines []*engine, id string) bool { return workedSince(engines, id, time.Time{}) }

// workedSince reports whether a replica was at work on a request, or had it in its queue, at a time or later.
func workedSince(engines []*engine, id string, since time.Time) bool {
	for _, e := range engines {
		e.mu.Lock()
		for _, each := range e.work[id] {
			if each.to.After(since) {
				e.mu.Unlock()
				return true
			}
		}
		e.mu.Unlock()
	}
	return false
}
