package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavmembership"
	"lavenderswitch/core/services/lavspread"
)

// dataCentres is the number of data centres that the hosts are distributed over.
const dataCentres = 5

// host is the configuration exchange of one host.
type host struct {
	current  *lavspread.Current
	spreader *lavspread.Spreader
	table    *lavmembership.Table
	server   *lavhttp.Server
	killed   bool
	cancel   context.CancelFunc
}

// fleet is a set of hosts in this process with a shared store.
type fleet struct {
	store      *store
	hosts      []*host
	bytes      atomic.Int64
	goroutines conc.WaitGroup
}

// countingConn adds the bytes of a connection to a total.
type countingConn struct {
	net.Conn
	total *atomic.Int64
}

// Read counts the bytes read.
func (c countingConn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	c.total.Add(int64(count))
	return count, err
}

// Write counts the bytes written.
func (c countingConn) Write(data []byte) (int, error) {
	count, err := c.Conn.Write(data)
	c.total.Add(int64(count))
	return count, err
}

// deferredHandler is a handler that is set after its listener was opened.
type deferredHandler struct{ handler http.Handler }

// ServeHTTP forwards the request to the handler.
func (h *deferredHandler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	h.handler.ServeHTTP(w, request)
}

// startFleet starts hosts that exchange configurations over the loopback interface.
func startFleet(ctx context.Context, count int) (*fleet, error) {
	f := &fleet{store: newStore()}
	log := logrus.New()
	log.SetOutput(io.Discard)
	listed := make([]lavplatform.Host, 0, count)
	for i := range count {
		deferred := &deferredHandler{}
		server, err := lavhttp.Listen(ctx, "127.0.0.1:0", deferred, nil, lavhttp.DefaultLimits())
		if err != nil {
			return nil, err
		}
		row := lavplatform.Host{
			ID:         lavid.HostID(fmt.Sprint("host-", i)),
			Role:       role(i),
			Address:    server.Address(),
			DataCentre: dataCentre(i),
		}
		listed = append(listed, row)
		self := lavmembership.Member{ID: row.ID, Role: row.Role, Address: row.Address, DataCentre: row.DataCentre}
		h := &host{current: lavspread.NewCurrent(), table: lavmembership.New(self), server: server}
		h.spreader = lavspread.New(lavspread.Options{
			Rows: f.store, Peers: h.table, Current: h.current, Client: f.client(), Scheme: "http://", Log: log,
		})
		deferred.handler = h.spreader.Handler()
		f.hosts = append(f.hosts, h)
	}
	for _, h := range f.hosts {
		h.table.Merge(listed, time.Now())
		running, cancel := context.WithCancel(ctx)
		h.cancel = cancel
		f.goroutines.Go(func() { _ = h.server.Serve() })
		f.goroutines.Go(func() { h.spreader.Run(running) })
	}
	return f, nil
}

// role returns the role of the host with the given index: two hosts in five are entry hosts.
func role(i int) lavplatform.HostRole {
	if i%5 < 2 {
		return lavplatform.RoleEntry
	}
	return lavplatform.RoleSide
}

func dataCentre(i int) lavid.DataCentreID {
	return lavid.DataCentreID(fmt.Sprint("dc-", i%dataCentres))
}

// client returns an HTTP client that counts the bytes of its connections.
func (f *fleet) client() *http.Client {
	client := lavspread.NewHTTPClient(nil)
	dialer := &net.Dialer{}
	client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, &f.bytes}, nil
	}
	return client
}

// kill stops a host without informing its peers, as a crash does.
func (h *host) kill(ctx context.Context) {
	h.killed = true
	h.cancel()
	_ = h.server.Shutdown(ctx)
}

// stop stops all hosts and waits for their goroutines.
func (f *fleet) stop(ctx context.Context) {
	for _, h := range f.hosts {
		h.kill(ctx)
	}
	f.goroutines.Wait()
}

// waitUntilInForce returns the time until a configuration number is in force on every live host, or a negative duration
// after the limit.
func (f *fleet) waitUntilInForce(number lavid.ConfigNumber, since time.Time, limit time.Duration) time.Duration {
	for time.Since(since) < limit {
		if f.inForceShare(number) == 1 {
			return time.Since(since)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return -1
}

// inForceShare returns the share of the live hosts on which a configuration number or a later one is in force now.
func (f *fleet) inForceShare(number lavid.ConfigNumber) float64 {
	live, inForce := 0, 0
	now := time.Now()
	for _, h := range f.hosts {
		if h.killed {
			continue
		}
		live++
		if document := h.current.InForce(now); document != nil && document.Number >= number {
			inForce++
		}
	}
	return float64(inForce) / float64(live)
}

// initialPatch returns a patch that creates a configuration of the design size.
func initialPatch(servers int) json.RawMessage {
	type operation struct {
		Op    string `json:"op"`
		Path  string `json:"path"`
		Value any    `json:"value"`
	}
	var operations []operation
	add := func(path string, value any) { operations = append(operations, operation{"add", path, value}) }
	for i := range dataCentres {
		add("/DataCentres/"+string(dataCentre(i)), map[string]any{"Region": fmt.Sprint("region-", i%2), "State": "InService"})
	}
	for i := range 15 {
		add(fmt.Sprint("/Versions/model-", i), map[string]any{"Model": fmt.Sprint("model-", i/3), "State": "Serving", "InputPrice": 1, "OutputPrice": 2, "ExpectedQuality": 0.9})
	}
	for i := range servers {
		add(fmt.Sprint("/BackendServers/engine-", i), map[string]any{
			"DataCentre": dataCentre(i), "SideAddress": fmt.Sprintf("10.%d.%d.%d:7200", i/250, i%250, i%17+1), "State": "InService",
			"Versions": []string{fmt.Sprint("model-", i%15)}, "MemoryVersions": 2, "MaxRunning": 32,
		})
	}
	for i := range 20 {
		add(fmt.Sprint("/ClientAccounts/account-", i), map[string]any{
			"KeyHashes":       []string{fmt.Sprintf("%064x", i+1)},
			"AllowedVersions": []string{"model-0", "model-3", "model-6"}, "QualityTarget": 0.8, "Weight": 1, "MaxConcurrent": 100, "MaxBodyBytes": 1 << 20,
		})
	}
	data, err := json.Marshal(operations)
	if err != nil {
		panic(err)
	}
	return data
}
