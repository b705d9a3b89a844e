package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const address = "127.0.0.1"

// running is the fleet of this process, which ends it before the process exits.
var running *fleet

// fleet is a small deployment: entry hosts, their store and replicas.
type fleet struct {
	dir      string
	program  string
	store    *store
	storeAt  string
	memoryMB int
	hosts    []*host
	replicas []*replica
	// foreign holds the entries of another writer by key; it writes them as often as the replicas write theirs.
	foreign      map[string]string
	foreignMutex sync.Mutex
	record       *record
	done         chan struct{}
	endOnce      sync.Once
}

// host is one entry host and its process.
type host struct {
	name     string
	settings string
	front    string
	ready    string
	command  *exec.Cmd
	exited   chan struct{}
}

func newFleet(dir string, memoryMB int) *fleet {
	program := os.Getenv("PROGRAM")
	f := &fleet{dir: dir, program: program, store: newStore(), memoryMB: memoryMB, record: newRecord(filepath.Join(os.Getenv("CASE"), "record.txt")), done: make(chan struct{})}
	running = f
	listener := listen()
	f.storeAt = listener.Addr().String()
	go func() { _ = http.Serve(listener, f.store) }()
	return f
}

func listen() net.Listener {
	listener, err := net.Listen("tcp4", address+":0")
	if err != nil {
		stop("listen: %v", err)
	}
	return listener
}

// freePorts returns two successive ports of which the first is free for TCP and the second for UDP.
func freePorts() int {
	for range 200 {
		listener := listen()
		port := listener.Addr().(*net.TCPAddr).Port
		listener.Close()
		packets, err := net.ListenPacket("udp4", net.JoinHostPort(address, strconv.Itoa(port+1)))
		if err != nil {
			continue
		}
		packets.Close()
		return port
	}
	stop("no free ports")
	return 0
}

func freeAddress() string {
	listener := listen()
	defer listener.Close()
	return listener.Addr().String()
}

// addHost starts an entry host with the settings that the deploy template would hold.
func (f *fleet) addHost(name, zone string) *host {
	h := &host{name: name, settings: filepath.Join(f.dir, name+".json"), front: freeAddress(), ready: freeAddress()}
	port := freePorts()
	settings, _ := json.Marshal(map[string]any{
		"HostID": name, "DataCentre": zone, "Regions": map[string]string{"zone-a": "region", "zone-b": "region"}, "IP": address,
		"CallerAddress": h.front, "ReadinessAddress": h.ready, "FirstInternalPort": port, "LastInternalPort": port + 15,
		"MemoryMegabytes": f.memoryMB, "LinkMegabits": 1000.0, "Processors": 0.304, "StoreAddress": f.storeAt, "HeartbeatMilliseconds": 1200,
		"Bounds": map[string]any{
			"DrainMilliseconds": 2000, "GraceSeconds": 8, "ConfigApplyMilliseconds": 2000, "FailClosed": false, "RevokeMilliseconds": 5000,
			"RetryRatio": 0.9, "RetryWindowSeconds": 10, "RetrySlack": 54, "ExposureShare": 0.15, "ExposureSlack": 30, "ColdOverage": 1.5, "SessionSeconds": 5,
		},
	})
	if err := os.WriteFile(h.settings, settings, 0o600); err != nil {
		stop("write settings: %v", err)
	}
	f.hosts = append(f.hosts, h)
	f.startHost(h)
	return h
}

// startHost starts the process of a host with the command of the deploy file.
func (f *fleet) startHost(h *host) {
	log, err := os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		stop("open log: %v", err)
	}
	h.command = exec.Command(f.program, "run")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LAVENDERSWITCH_SETTINGS=" + h.settings}
	h.command.Stdout, h.command.Stderr = log, log
	if err := h.command.Start(); err != nil {
		stop("start %s: %v", f.program, err)
	}
	h.exited = make(chan struct{})
	command, exited := h.command, h.exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	f.record.add("%s started", h.name)
}

func (h *host) isRunning() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// isReady asks a host as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + h.ready + "/lavenderswitch/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (f *fleet) awaitReady() {
	for _, h := range f.hosts {
		for began := time.Now(); !h.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Since(began) > 15*time.Second {
				stop("%s does not become ready", h.name)
			}
		}
	}
}

// privateMB returns the private memory of a host's process, without the pages of its program file, in MB of 2^20 bytes.
func (h *host) privateMB() float64 {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", h.command.Process.Pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) >= 2 && fields[0] == "RssAnon:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return float64(kilobytes) / 1024
		}
	}
	return 0
}

// end stops all processes and replicas.
func (f *fleet) end() {
	f.endOnce.Do(func() {
		close(f.done)
		for _, h := range f.hosts {
			if h.isRunning() {
				_ = h.command.Process.Kill()
				<-h.exited
			}
		}
	})
}

// addForeign writes an entry of another writer among those of the replicas.
func (f *fleet) addForeign(key string, entry map[string]any) {
	value, _ := json.Marshal(entry)
	f.foreignMutex.Lock()
	defer f.foreignMutex.Unlock()
	if f.foreign == nil {
		f.foreign = make(map[string]string)
	}
	f.foreign[key] = string(value)
	f.store.put("servers", key, string(value))
	f.record.print("another writer has put the entry %s", value)
}

// heartbeats writes the rows of the replicas every 1.2 s.
func (f *fleet) heartbeats() {
	for {
		for _, r := range f.replicas {
			r.beat(f.store)
		}
		f.foreignMutex.Lock()
		for key, value := range f.foreign {
			f.store.put("servers", key, value)
		}
		f.foreignMutex.Unlock()
		select {
		case <-f.done:
			return
		case <-time.After(1200 * time.Millisecond):
		}
	}
}
