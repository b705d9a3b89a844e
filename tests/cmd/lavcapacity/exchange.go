package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavmembership"
	"lavenderswitch/core/services/lavspread"
)

// countingListener counts the bytes that all its connections read and write.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns a connection whose bytes are counted.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes read.
func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes written.
func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// exchangeHost is one host of an exchange.
type exchangeHost struct {
	spreader *lavspread.Spreader
	current  *lavspread.Current
	server   *httptest.Server
	members  *lavmembership.Table
}

// exchange is a set of hosts in this process that exchange configurations over the loopback interface.
type exchange struct {
	hosts      []*exchangeHost
	rows       *memoryRows
	bytes      atomic.Int64
	stop       context.CancelFunc
	goroutines conc.WaitGroup
}

// startExchange starts the hosts and waits until the initial configuration is in force on all of them.
func startExchange(count int) (*exchange, error) {
	e := &exchange{rows: newMemoryRows()}
	first := document(designServers, designAccounts, designVersions)
	if err := e.rows.seed(first); err != nil {
		return nil, err
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	var listed []lavplatform.Host
	for i := range count {
		server := httptest.NewUnstartedServer(nil)
		server.Listener = countingListener{server.Listener, &e.bytes}
		host := lavplatform.Host{ID: lavid.HostID(fmt.Sprint("entry-host-", i)), Role: lavplatform.RoleEntry, Address: server.Listener.Addr().String(), DataCentre: dataCentreID(i)}
		table := lavmembership.New(lavmembership.Member{ID: host.ID, Role: host.Role, Address: host.Address, DataCentre: host.DataCentre})
		current := lavspread.NewCurrent()
		spreader := lavspread.New(lavspread.Options{Rows: e.rows, Peers: table, Current: current, Client: lavspread.NewHTTPClient(nil), Scheme: "http://", Log: log})
		server.Config.Handler = spreader.Handler()
		listed = append(listed, host)
		e.hosts = append(e.hosts, &exchangeHost{spreader, current, server, table})
	}
	ctx, stop := context.WithCancel(context.Background())
	e.stop = stop
	for _, host := range e.hosts {
		host.members.Merge(listed, time.Now())
		host.server.Start()
		e.goroutines.Go(func() { host.spreader.Run(ctx) })
	}
	return e, e.waitUntilInForce(first.Number)
}

func (e *exchange) close() {
	e.stop()
	e.goroutines.Wait()
	for _, host := range e.hosts {
		host.server.Close()
	}
}

const (
	convergenceTimeout = 20 * time.Second
	pollInterval       = 5 * time.Millisecond
	idleExchangeTime   = 3 * time.Second        // length of the measurement without changes
	changeCount        = 3                      // changes for each number of hosts
	changeInterval     = 800 * time.Millisecond // pause after each change
)

// waitUntilInForce returns when a configuration number is in force on every host.
func (e *exchange) waitUntilInForce(number lavid.ConfigNumber) error {
	for deadline := time.Now().Add(convergenceTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if e.inForce(number) {
			return nil
		}
	}
	return errors.Errorf("configuration %d is not in force on every host after %s", number, convergenceTimeout)
}

func (e *exchange) inForce(number lavid.ConfigNumber) bool {
	for _, host := range e.hosts {
		current := host.current.InForce(time.Now())
		if current == nil || current.Number < number {
			return false
		}
	}
	return true
}

// measureExchange measures what a host spends to keep the configuration current and to adopt a change.
func measureExchange(r *report) error {
	idleBytes := r.series("exchange without changes", "bytes/s per host, sent and received", "host")
	idleTimes := r.series("exchange without changes", "ms of processor/s per host", "host")
	reads := r.series("store reads of all hosts", "reads/s", "host")
	changeBytes := r.series("one change", "bytes per host, sent and received", "host")
	changeTimes := r.series("one change", "ms of processor per host", "host")
	spread := r.series("one change in force everywhere", "ms, slowest of 3", "host")
	for _, count := range []int{10, 40, 80, 160} {
		e, err := startExchange(count)
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		idle := e.observe(func() { time.Sleep(idleExchangeTime) })
		x := float64(count)
		idleBytes.add(x, 2*idle.bytes/x/idle.seconds)
		idleTimes.add(x, idle.processor/x/idle.seconds)
		reads.add(x, idle.reads/idle.seconds)
		var slowest time.Duration
		changes := e.observe(func() { slowest, err = e.submitChanges() })
		e.close()
		if err != nil {
			return err
		}
		changeBytes.add(x, (2*changes.bytes/x-2*idle.bytes/x*changes.seconds/idle.seconds)/changeCount)
		changeTimes.add(x, (changes.processor/x-idle.processor/x*changes.seconds/idle.seconds)/changeCount)
		spread.add(x, slowest.Seconds()*1000)
	}
	return nil
}

// submitChanges submits changes one after another and returns the longest time until a change was in force on every host.
func (e *exchange) submitChanges() (time.Duration, error) {
	slowest := time.Duration(0)
	for i := range changeCount {
		base := e.hosts[0].current.Number()
		state := `"OutOfService"`
		if i%2 == 1 {
			state = `"InService"`
		}
		patch := lavspread.Patch{
			ID: lavid.PatchID(fmt.Sprint("change-", i)), Base: base,
			Operations: json.RawMessage(`[{"op":"replace","path":"/BackendServers/engine-0001/State","value":` + state + `}]`),
		}
		began := time.Now()
		receipt, err := e.hosts[0].spreader.Submit(context.Background(), patch)
		if err != nil {
			return 0, err
		}
		if err := e.waitUntilInForce(receipt.Number); err != nil {
			return 0, err
		}
		slowest = max(slowest, time.Since(began))
		time.Sleep(changeInterval)
	}
	return slowest, nil
}

// observation is the total resource use of all hosts in a period. bytes counts each byte once, at the host that serves it.
type observation struct {
	bytes, reads float64
	// processor is the processor time in milliseconds.
	processor float64
	seconds   float64
}

// observe returns the resource use of all hosts while work runs.
func (e *exchange) observe(work func()) observation {
	bytes, reads, processor, began := e.bytes.Load(), e.rows.reads.Load(), processorMillis(), time.Now()
	work()
	return observation{
		bytes:     float64(e.bytes.Load() - bytes),
		reads:     float64(e.rows.reads.Load() - reads),
		processor: processorMillis() - processor,
		seconds:   time.Since(began).Seconds(),
	}
}

// processorMillis returns the processor time of this process in milliseconds.
func processorMillis() float64 {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	micros := (usage.Utime.Sec+usage.Stime.Sec)*1e6 + usage.Utime.Usec + usage.Stime.Usec
	return float64(micros) / 1000
}
