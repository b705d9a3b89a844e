package main

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/tests/measures/lavprocess"
)

func itoa(n int) string { return strconv.Itoa(n) }

// countingProxy forwards requests to the platform and counts them and the bytes of the connections to it.
type countingProxy struct {
	server *httptest.Server
	reads  atomic.Int64
	writes atomic.Int64
	hosts  atomic.Int64
	bytes  atomic.Int64
}

func newCountingProxy(platform string) (*countingProxy, error) {
	target, err := url.Parse("http://" + platform)
	if err != nil {
		return nil, errors.Wrap(err, "parse the address of the platform")
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	c := &countingProxy{}
	c.server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		c.count(request)
		proxy.ServeHTTP(w, request)
	}))
	c.server.Listener = countingListener{c.server.Listener, &c.bytes}
	c.server.Start()
	return c, nil
}

// count counts host list reads, table reads and write transactions separately.
func (c *countingProxy) count(request *http.Request) {
	switch {
	case request.URL.Path == "/hosts":
		c.hosts.Add(1)
	case request.Method == http.MethodGet:
		c.reads.Add(1)
	case strings.HasPrefix(request.URL.Path, "/tables/"):
		c.writes.Add(1)
	}
}

// address returns the address on which the proxy listens.
func (c *countingProxy) address() string {
	return c.server.Listener.Addr().String()
}

// measurePlatform measures the platform traffic of the processes, idle and under load.
func measurePlatform(r *report) error {
	idleReads := r.series("idle: table reads", "reads/s", "entry and side pair")
	idleLists := r.series("idle: host list reads", "reads/s", "entry and side pair")
	idleBytes := r.series("idle: platform traffic", "bytes/s", "entry and side pair")
	busyWrites := r.series("streams: write transactions", "writes/s", "entry and side pair")
	busyRate := r.series("streams: answers", "answers/s", "entry and side pair")
	for _, pairs := range []int{1, 2, 4} {
		if err := measurePairs(pairs, idleReads, idleLists, idleBytes, busyWrites, busyRate); err != nil {
			return err
		}
	}
	return nil
}

// measurePairs adds the platform traffic of a fleet of the given size to the series.
func measurePairs(pairs int, idleReads, idleLists, idleBytes, busyWrites, busyRate *series) error {
	f, c, err := startPairs(pairs)
	if err != nil {
		return err
	}
	defer c.server.Close()
	defer f.Stop()
	time.Sleep(2 * time.Second)
	reads, lists, bytes, began := c.reads.Load(), c.hosts.Load(), c.bytes.Load(), time.Now()
	time.Sleep(idleTime)
	seconds := time.Since(began).Seconds()
	x := float64(pairs)
	idleReads.add(x, float64(c.reads.Load()-reads)/seconds)
	idleLists.add(x, float64(c.hosts.Load()-lists)/seconds)
	idleBytes.add(x, float64(c.bytes.Load()-bytes)/seconds)
	writes, began := c.writes.Load(), time.Now()
	answers := sendStreams(f, streamTime)
	seconds = time.Since(began).Seconds()
	busyWrites.add(x, float64(c.writes.Load()-writes)/seconds)
	busyRate.add(x, float64(answers)/seconds)
	return nil
}

// startPairs starts a fleet with the given number of entry hosts and side processes, which reach the platform through a
// counting proxy.
func startPairs(pairs int) (*lavprocess.Fleet, *countingProxy, error) {
	f, err := lavprocess.New(programs)
	if err != nil {
		return nil, nil, err
	}
	c, err := newCountingProxy(f.PlatformAddress())
	if err != nil {
		f.Stop()
		return nil, nil, err
	}
	f.SetPlatformAddress(c.address())
	for i := range pairs {
		dataCentre := lavid.DataCentreID("dc-" + itoa(i%3))
		if err := f.AddServer(dataCentre, 500, "--capacity", unlimitedRunning, "--first-token", "5ms", "--between-tokens", "1ms", "--tokens", "10"); err != nil {
			return f, c, err
		}
		if err := f.AddEntry(dataCentre); err != nil {
			return f, c, err
		}
	}
	return f, c, f.MakeReady()
}
