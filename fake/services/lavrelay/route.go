package lavrelay

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"lavenderswitch/core/modules/lavlife"
	"lavenderswitch/fake/models/lavtruth"
)

// Mode is how a route treats connections and their data.
type Mode string

// Modes of a route.
const (
	// Pass forwards data in both directions.
	Pass Mode = "Pass"
	// CutOnce closes the open connections. Later connections pass.
	CutOnce Mode = "CutOnce"
	// Cut closes the open connections, and later ones as soon as they are accepted.
	Cut Mode = "Cut"
	// SilentExisting discards all data of the open connections until they end. Later connections pass.
	SilentExisting Mode = "SilentExisting"
	// SilentAll discards all data of the open connections, and of those accepted until another mode is set.
	SilentAll Mode = "SilentAll"
	// Hold holds data back until another mode is set, and then delivers it.
	Hold Mode = "Hold"
	// Refuse closes the listener, so that the kernel refuses connections as if the target were down.
	Refuse Mode = "Refuse"
	// HoldBack holds back only the data from the target to the client.
	HoldBack Mode = "HoldBack"
)

const (
	// maxConnections limits the open connections of a route.
	maxConnections   = 2000
	copyBufferBytes  = 16 << 10
	dialTimeout      = time.Second
	maxHeldLineBytes = 80
	// listenRetryInterval is the time between two attempts to open the listener again.
	listenRetryInterval = 20 * time.Millisecond
)

// Route relays connections from a listening address to a target address.
type Route struct {
	listen      string
	target      string
	mu          sync.Mutex
	mode        Mode
	modeChanged chan struct{}
	open        map[*connectionPair]struct{}
	truth       lavtruth.Route
	// heldLines holds the first line of each piece of data that is held back.
	heldLines map[*string]struct{}
	handlers  conc.WaitGroup
	// listener accepts connections. It is closed while the mode is Refuse.
	listener net.Listener
	// onDiscard is called with data from a client that is discarded; it may be nil.
	onDiscard func(listen string, data []byte)
}

// connectionPair is a connection from a client and the connection to the target that it is relayed to.
type connectionPair struct {
	clientConn net.Conn
	targetConn net.Conn
	// silent makes the route discard all data of the pair.
	silent bool
}

func newRoute(listen, target string) *Route {
	return &Route{listen: listen, target: target, mode: Pass, modeChanged: make(chan struct{}), open: make(map[*connectionPair]struct{}), heldLines: make(map[*string]struct{})}
}

// serve accepts connections until ctx ends. The listener is closed while the mode is Refuse.
func (r *Route) serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { r.SetMode(Cut) })
	defer stop()
	defer r.handlers.Wait()
	for ctx.Err() == nil {
		if listener != nil {
			r.accept(ctx, listener)
		}
		listener = r.listenAgain(ctx)
	}
}

// accept accepts connections until ctx ends or the mode becomes Refuse.
func (r *Route) accept(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer listener.Close()
	r.mu.Lock()
	r.listener = listener
	refusing := r.mode == Refuse
	r.mu.Unlock()
	for !refusing {
		clientConn, err := listener.Accept()
		if err != nil {
			return
		}
		r.handlers.Go(func() { r.proxy(ctx, clientConn) })
	}
}

// listenAgain waits until the mode is not Refuse and opens the listener. It returns nil when it must be called again.
func (r *Route) listenAgain(ctx context.Context) net.Listener {
	r.mu.Lock()
	mode, modeChanged := r.mode, r.modeChanged
	r.mu.Unlock()
	if mode == Refuse {
		select {
		case <-ctx.Done():
		case <-modeChanged:
		}
		return nil
	}
	var setup net.ListenConfig
	listener, err := setup.Listen(ctx, "tcp", r.listen)
	if err != nil {
		lavlife.Pause(ctx, listenRetryInterval)
		return nil
	}
	return listener
}

// SetMode sets the mode of the route and applies it to the open connections.
func (r *Route) SetMode(mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for pair := range r.open {
		switch mode {
		case CutOnce, Cut:
			pair.close()
		case SilentExisting, SilentAll:
			pair.silent = true
		default:
		}
	}
	if mode == CutOnce || mode == SilentExisting {
		mode = Pass
	}
	r.mode = mode
	if mode == Refuse && r.listener != nil {
		r.listener.Close()
	}
	close(r.modeChanged)
	r.modeChanged = make(chan struct{})
}

// Truth returns the current state of the route.
func (r *Route) Truth() lavtruth.Route {
	r.mu.Lock()
	defer r.mu.Unlock()
	truth := r.truth
	truth.Listen = r.listen
	truth.Target = r.target
	truth.Mode = string(r.mode)
	truth.Connections = len(r.open)
	for line := range r.heldLines {
		truth.HeldLines = append(truth.HeldLines, *line)
	}
	return truth
}

// proxy connects a client to the target and copies data in both directions until both have ended.
func (r *Route) proxy(ctx context.Context, clientConn net.Conn) {
	defer clientConn.Close()
	dialer := net.Dialer{Timeout: dialTimeout}
	targetConn, err := dialer.DialContext(ctx, "tcp", r.target)
	if err != nil {
		return
	}
	defer targetConn.Close()
	pair := &connectionPair{clientConn: clientConn, targetConn: targetConn}
	if !r.register(pair) {
		return
	}
	defer r.unregister(pair)
	var directions conc.WaitGroup
	directions.Go(func() { r.copyData(ctx, pair, clientConn, targetConn, true) })
	directions.Go(func() { r.copyData(ctx, pair, targetConn, clientConn, false) })
	directions.Wait()
}

// register adds a pair to the open ones and reports whether it did. When it did not, the caller closes the connections.
func (r *Route) register(pair *connectionPair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.truth.Accepted++
	if r.mode == Cut || len(r.open) >= maxConnections {
		return false
	}
	pair.silent = r.mode == SilentAll
	r.open[pair] = struct{}{}
	return true
}

func (r *Route) unregister(pair *connectionPair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, pair)
}

func (p *connectionPair) close() {
	p.clientConn.Close()
	p.targetConn.Close()
}

// copyData copies data in one direction. When one end closes, both connections are closed, unless the pair is silent.
func (r *Route) copyData(ctx context.Context, pair *connectionPair, from, to net.Conn, forward bool) {
	data := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(data)
		if n > 0 {
			if !r.waitForMode(ctx, pair, data[:n], forward) {
				continue
			}
			if _, writeErr := to.Write(data[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			r.closePair(ctx, pair)
			return
		}
	}
}

// closePair closes both connections. A silent pair stays open until ctx ends, so that neither end receives the close.
func (r *Route) closePair(ctx context.Context, pair *connectionPair) {
	r.mu.Lock()
	silent := pair.silent
	r.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	pair.close()
}

// waitForMode holds data back for as long as the mode requires and reports whether it is to be written.
func (r *Route) waitForMode(ctx context.Context, pair *connectionPair, data []byte, forward bool) bool {
	line := firstLine(data)
	held := false
	for {
		r.mu.Lock()
		mode, silent, modeChanged := r.mode, pair.silent, r.modeChanged
		holds := mode == Hold || (mode == HoldBack && !forward)
		if holds && !silent && !held {
			held = true
			r.truth.HeldBytes += int64(len(data))
			r.heldLines[&line] = struct{}{}
		}
		if !holds || silent {
			delete(r.heldLines, &line)
			r.countBytes(len(data), forward, held, silent)
			r.mu.Unlock()
			if silent && forward && r.onDiscard != nil {
				r.onDiscard(r.listen, data)
			}
			return !silent
		}
		r.mu.Unlock()
		select {
		case <-modeChanged:
		case <-ctx.Done():
			return true
		}
	}
}

// firstLine returns the first line of data, cut to maxHeldLineBytes.
func firstLine(data []byte) string {
	line, _, _ := bytes.Cut(data[:min(len(data), maxHeldLineBytes)], []byte("\r\n"))
	return string(line)
}

// countBytes counts n bytes that are no longer held back: as forwarded, unless they are discarded.
func (r *Route) countBytes(n int, forward, held, silent bool) {
	if held {
		r.truth.HeldBytes -= int64(n)
	}
	if silent {
		return
	}
	if forward {
		r.truth.ForwardBytes += int64(n)
		return
	}
	r.truth.BackBytes += int64(n)
}
