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

// Mode is what a route does with bytes.
type Mode string

// The modes of a route.
const (
	// Pass carries bytes both ways.
	Pass Mode = "Pass"
	// CutOnce closes the connections of the moment; later ones pass.
	CutOnce Mode = "CutOnce"
	// Cut closes all connections, and later ones at once.
	Cut Mode = "Cut"
	// SilentExisting drops all bytes of the connections of the moment for good; later ones pass.
	SilentExisting Mode = "SilentExisting"
	// SilentAll drops all bytes for good, also of later connections, until another mode is set.
	SilentAll Mode = "SilentAll"
	// Hold keeps bytes back until another mode is set, and loses none.
	Hold Mode = "Hold"
	// Refuse closes the listener, so that the kernel refuses connections as it does when the target is gone.
	Refuse Mode = "Refuse"
	// HoldBack keeps only the bytes towards the dialling end back.
	HoldBack Mode = "HoldBack"
)

const (
	maxConnections = 2000
	copyBytes      = 16 << 10
	dialTimeout    = time.Second
	maxLineBytes   = 80
	// listenPause separates tries to listen again on an address.
	listenPause = 20 * time.Millisecond
)

// Route carries connections from one address to another.
type Route struct {
	listen  string
	target  string
	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	open    map[*pair]struct{}
	truth   lavtruth.Route
	lines   map[*string]struct{}
	work    conc.WaitGroup
	// listener takes connections now; closed while the route refuses.
	listener net.Listener
}

// pair is one connection and its continuation.
type pair struct {
	near   net.Conn
	far    net.Conn
	silent bool
}

func newRoute(listen, target string) *Route {
	return &Route{listen: listen, target: target, mode: Pass, changed: make(chan struct{}), open: make(map[*pair]struct{}), lines: make(map[*string]struct{})}
}

// serve takes connections until ctx ends; while the route refuses, it has no listener.
func (r *Route) serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { r.Set(Cut) })
	defer stop()
	defer r.work.Wait()
	for ctx.Err() == nil {
		if listener != nil {
			r.accept(ctx, listener)
		}
		listener = r.listenAgain(ctx)
	}
}

// accept takes connections until ctx ends or the route refuses.
func (r *Route) accept(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	defer listener.Close()
	r.mu.Lock()
	r.listener = listener
	refuses := r.mode == Refuse
	r.mu.Unlock()
	for !refuses {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		r.work.Go(func() { r.carry(ctx, near) })
	}
}

// listenAgain opens the listener once the route no longer refuses, or returns nil to be called again.
func (r *Route) listenAgain(ctx context.Context) net.Listener {
	r.mu.Lock()
	mode, changed := r.mode, r.changed
	r.mu.Unlock()
	if mode == Refuse {
		select {
		case <-ctx.Done():
		case <-changed:
		}
		return nil
	}
	var setup net.ListenConfig
	listener, err := setup.Listen(ctx, "tcp", r.listen)
	if err != nil {
		lavlife.Pause(ctx, listenPause)
		return nil
	}
	return listener
}

// Set changes the mode of the route and of its connections.
func (r *Route) Set(mode Mode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for one := range r.open {
		switch mode {
		case CutOnce, Cut:
			one.close()
		case SilentExisting, SilentAll:
			one.silent = true
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
	close(r.changed)
	r.changed = make(chan struct{})
}

// Truth returns the state of the route.
func (r *Route) Truth() lavtruth.Route {
	r.mu.Lock()
	defer r.mu.Unlock()
	truth := r.truth
	truth.Listen = r.listen
	truth.Target = r.target
	truth.Mode = string(r.mode)
	truth.Connections = len(r.open)
	for line := range r.lines {
		truth.HeldLines = append(truth.HeldLines, *line)
	}
	return truth
}

func (r *Route) carry(ctx context.Context, near net.Conn) {
	defer near.Close()
	dialer := net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(ctx, "tcp", r.target)
	if err != nil {
		return
	}
	defer far.Close()
	one := &pair{near: near, far: far}
	if !r.add(one) {
		return
	}
	defer r.remove(one)
	var both conc.WaitGroup
	both.Go(func() { r.copy(ctx, one, near, far, true) })
	both.Go(func() { r.copy(ctx, one, far, near, false) })
	both.Wait()
}

func (r *Route) add(one *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.truth.Accepted++
	if r.mode == Cut || len(r.open) >= maxConnections {
		return false
	}
	one.silent = r.mode == SilentAll
	r.open[one] = struct{}{}
	return true
}

func (r *Route) remove(one *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, one)
}

func (p *pair) close() {
	p.near.Close()
	p.far.Close()
}

// copy moves bytes one way; when either end closes, both do, unless the pair is silent.
func (r *Route) copy(ctx context.Context, one *pair, from, to net.Conn, forward bool) {
	data := make([]byte, copyBytes)
	for {
		n, err := from.Read(data)
		if n > 0 {
			if !r.wait(ctx, one, data[:n], forward) {
				continue
			}
			if _, writeErr := to.Write(data[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			r.finish(ctx, one)
			return
		}
	}
}

// finish closes the pair, but lets the other end of a silent one learn nothing.
func (r *Route) finish(ctx context.Context, one *pair) {
	r.mu.Lock()
	silent := one.silent
	r.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	one.close()
}

// wait holds a piece as the mode says and returns whether it is to be written.
func (r *Route) wait(ctx context.Context, one *pair, piece []byte, forward bool) bool {
	line := firstLine(piece)
	held := false
	for {
		r.mu.Lock()
		mode, silent, changed := r.mode, one.silent, r.changed
		holds := mode == Hold || (mode == HoldBack && !forward)
		if holds && !silent && !held {
			held = true
			r.truth.HeldBytes += int64(len(piece))
			r.lines[&line] = struct{}{}
		}
		if !holds || silent {
			delete(r.lines, &line)
			r.count(len(piece), forward, held, silent)
			r.mu.Unlock()
			return !silent
		}
		r.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return true
		}
	}
}

func firstLine(piece []byte) string {
	line, _, _ := bytes.Cut(piece[:min(len(piece), maxLineBytes)], []byte("\r\n"))
	return string(line)
}

func (r *Route) count(n int, forward, held, silent bool) {
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
