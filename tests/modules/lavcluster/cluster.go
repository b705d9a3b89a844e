package lavcluster

import (
	"context"
	"fmt"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/fake/modules/lavchild"
	"lavenderswitch/tests/modules/lavport"
)

const (
	// maxClusters limits how many fleets run at the same time.
	maxClusters = 4
	// startTimeout limits each wait during the start of a fleet.
	startTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
)

// clusterSlots holds one element for each running fleet.
var clusterSlots = make(chan struct{}, maxClusters)

// routeAddresses are the two ends of a relay route.
type routeAddresses struct {
	listen string
	target string
}

// Cluster is a running fleet of entry hosts, side processes, fake backend servers, a fake platform and a relay.
type Cluster struct {
	t         testing.TB
	programs  *Programs
	dir       string
	http      *http.Client
	processes map[string]*lavchild.Process
	addresses map[string]string
	routes    map[string]routeAddresses
}

// Options holds additional command line arguments for the fakes of a fleet.
type Options struct {
	EngineArgs   []string
	ServiceArgs  []string
	PlatformArgs []string
}

// Start starts a fleet, waits until its initial configuration is in force, and stops the fleet when the test ends.
// It blocks while maxClusters other fleets are running.
func Start(t testing.TB, programs *Programs, options Options) *Cluster {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	c := &Cluster{
		t:         t,
		programs:  programs,
		dir:       t.TempDir(),
		http:      &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
		processes: make(map[string]*lavchild.Process),
		addresses: make(map[string]string),
		routes:    make(map[string]routeAddresses),
	}
	t.Cleanup(c.stop)
	c.assignAddresses()
	c.startFakes(options)
	c.startSides()
	c.startEntries()
	c.submitInitialConfig()
	c.publishHosts()
	c.waitReady()
	return c
}

// stop kills all processes. If the test failed, it prints the ends of their logs first.
func (c *Cluster) stop() {
	if c.t.Failed() {
		c.printLogs()
	}
	for _, process := range c.processes {
		process.Kill()
	}
}

// logTail is how many bytes of each process log a failed test prints.
const logTail = 1200

func (c *Cluster) printLogs() {
	for name, process := range c.processes {
		log := process.Log()
		c.t.Logf("log of %s:\n%s", name, log[max(0, len(log)-logTail):])
	}
}

// must fails the test immediately if err is not nil.
func (c *Cluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// address returns the address reserved under a name, and reserves one at the first call.
func (c *Cluster) address(name string) string {
	if address, ok := c.addresses[name]; ok {
		return address
	}
	address, err := lavport.FreeAddress()
	c.must(err)
	c.addresses[name] = address
	return address
}

// addRoute defines a relay route that forwards connections of a hop to the target address.
func (c *Cluster) addRoute(hop Hop, host, target string) {
	name := routeName(hop, host)
	c.routes[name] = routeAddresses{listen: c.address("route " + name), target: target}
}

// assignAddresses reserves an address for every listener and defines the relay routes between the processes.
func (c *Cluster) assignAddresses() {
	platform := c.address(namePlatform)
	for _, entry := range Entries() {
		c.addRoute(HopCallers, entry, c.address(entry+" callers"))
		c.addRoute(HopEntryStore, entry, platform)
		c.addRoute(HopPeers, entry, c.address(entry+" peers"))
		c.address(entry + " operators")
	}
	for _, backend := range Backends() {
		c.addRoute(HopSides, backend, c.address(SideOf(backend)))
		c.addRoute(HopBackends, backend, c.address(backend))
		c.addRoute(HopSideStore, backend, platform)
	}
}

// start starts a program as the process with the given name. Its log is written to the directory of the test.
func (c *Cluster) start(name, program string, args ...string) {
	process := lavchild.New(name, filepath.Join(c.programs.dir, program), args, filepath.Join(c.dir, name+".log"))
	c.processes[name] = process
	c.must(process.Start())
}

// startFakes starts the fake platform, the relay and the fake backend servers, and waits until they answer.
func (c *Cluster) startFakes(options Options) {
	c.start(namePlatform, programFake, append([]string{"platform", "--address", c.address(namePlatform)}, options.PlatformArgs...)...)
	relay := []string{"relay", "--address", c.address(nameRelay)}
	for _, one := range c.routes {
		relay = append(relay, "--route", one.listen+"="+one.target)
	}
	c.start(nameRelay, programFake, relay...)
	for _, engine := range Engines() {
		args := []string{"engine", "--address", c.address(engine), "--journal", c.journal(engine)}
		args = append(args, "--version", string(Version1), "--version", string(Version2))
		c.start(engine, programFake, append(args, options.EngineArgs...)...)
	}
	for _, service := range Services() {
		args := []string{"service", "--address", c.address(service), "--journal", c.journal(service)}
		c.start(service, programFake, append(args, options.ServiceArgs...)...)
	}
	for _, name := range append(Backends(), namePlatform, nameRelay) {
		c.waitUntilAnswering(name, "http://"+c.address(name)+"/truth")
	}
}

// journal returns the path of the file in which a fake backend server keeps its runs across restarts.
func (c *Cluster) journal(backend string) string {
	return filepath.Join(c.dir, backend+".journal")
}

// url returns the base URL of a hop's relay route.
func (c *Cluster) url(hop Hop, host string) string {
	return "http://" + c.routes[routeName(hop, host)].listen
}

func (c *Cluster) startSides() {
	for _, backend := range Backends() {
		path, err := writeSettings(c.dir, SideOf(backend), sideSettings{
			HostID:            SideOf(backend),
			DataCentre:        DataCentreOf(backend),
			BackendServer:     backend,
			Address:           c.address(SideOf(backend)),
			AdminAddress:      c.address(SideOf(backend) + " admin"),
			OperatorKeyHashes: []string{keyHash(OperatorKey)},
			BackendAddress:    c.url(HopBackends, backend),
			PlatformAddress:   c.url(HopSideStore, backend),
			Seeds:             c.seeds(),
			LogLevel:          "info",
		})
		c.must(err)
		c.start(SideOf(backend), programSide, "run", "--settings", path)
	}
}

func (c *Cluster) startEntries() {
	for _, entry := range Entries() {
		path, err := writeSettings(c.dir, entry, entrySettings{
			HostID:            entry,
			DataCentre:        DataCentreOf(entry),
			CallerAddress:     c.address(entry + " callers"),
			OperatorAddress:   c.address(entry + " operators"),
			PeerAddress:       c.address(entry + " peers"),
			PlatformAddress:   c.url(HopEntryStore, entry),
			Seeds:             c.seeds(),
			OperatorKeyHashes: []string{keyHash(OperatorKey)},
			RequestTimeout:    "20s",
			LogLevel:          "info",
		})
		c.must(err)
		c.start(entry, programEntry, "run", "--settings", path)
	}
}

// seeds returns the peer addresses of all entry hosts, which other hosts contact first to discover the fleet.
func (c *Cluster) seeds() []string {
	var addresses []string
	for _, entry := range Entries() {
		addresses = append(addresses, c.routes[routeName(HopPeers, entry)].listen)
	}
	return addresses
}

// publishHosts writes all entry hosts and side processes to the platform's host list.
func (c *Cluster) publishHosts() {
	var hosts []lavplatform.Host
	for _, entry := range Entries() {
		hosts = append(hosts, lavplatform.Host{
			ID:         lavid.HostID(entry),
			Role:       lavplatform.RoleEntry,
			Address:    c.routes[routeName(HopPeers, entry)].listen,
			DataCentre: DataCentreOf(entry),
		})
	}
	for _, backend := range Backends() {
		hosts = append(hosts, lavplatform.Host{
			ID:            lavid.HostID(SideOf(backend)),
			Role:          lavplatform.RoleSide,
			Address:       c.routes[routeName(HopSides, backend)].listen,
			DataCentre:    DataCentreOf(backend),
			BackendServer: lavid.BackendServerID(backend),
		})
	}
	c.must(c.exchangeJSON(http.MethodPut, "http://"+c.address(namePlatform)+"/hosts", hostList{Hosts: hosts}, nil))
}

// hostList is the JSON body of the platform's host list.
type hostList struct{ Hosts []lavplatform.Host }

// waitUntilAnswering waits until a GET request to the URL succeeds.
func (c *Cluster) waitUntilAnswering(name, url string) {
	c.t.Helper()
	c.WaitFor(startTimeout, name+" answers", func() bool { return c.exchangeJSON(http.MethodGet, url, nil, nil) == nil })
}

// waitReady returns when every entry host answers a chat and a service call and every side process reports a
// configuration.
func (c *Cluster) waitReady() {
	c.t.Helper()
	for _, entry := range Entries() {
		c.WaitFor(startTimeout, entry+" serves", func() bool {
			chat := c.Send(context.Background(), entry, Request{ID: NewRequestID("warm"), Account: AccountBothVersions, Kind: Chat})
			status := c.Send(context.Background(), entry, Request{ID: NewRequestID("warm"), Account: AccountBothVersions, Kind: Status})
			return chat.IsComplete() && status.IsComplete()
		})
	}
	for _, backend := range Backends() {
		c.WaitFor(startTimeout, SideOf(backend)+" has a configuration", func() bool {
			number, err := c.SideConfigNumber(backend)
			return err == nil && number >= 1
		})
	}
	time.Sleep(stateReadTime)
}

// stateReadTime gives every side process time to read the state of its backend server.
const stateReadTime = 700 * time.Millisecond

// WaitFor waits until the condition holds and fails the test if it does not hold within the limit.
func (c *Cluster) WaitFor(limit time.Duration, what string, condition func() bool) {
	c.t.Helper()
	if !Poll(limit, condition) {
		c.t.Fatalf("%s: condition not met within %s", what, limit)
	}
}

// Poll reports whether the condition becomes true within the limit.
func Poll(limit time.Duration, condition func() bool) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return condition()
}

// Process returns a process by name: an entry host, a backend server or the side process that SideOf names. It panics if
// there is none.
func (c *Cluster) Process(name string) *lavchild.Process {
	process, ok := c.processes[name]
	if !ok {
		panic(fmt.Sprintf("no process named %s", name))
	}
	return process
}
