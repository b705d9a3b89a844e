package lavfault

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/fake/models/lavtruth"
)

const (
	exitCode       = 3
	maxHeld        = 10 * time.Minute
	maxControlSize = 1 << 20
)

type active struct {
	Fault
	released chan struct{}
}

// Injector keeps the faults of one stand-in.
type Injector struct {
	// OnSet is called with each fault when it is set.
	OnSet func(fault Fault)

	mu      sync.Mutex
	faults  []*active
	holding map[*lavtruth.Held]struct{}
}

// New returns an injector without faults.
func New() *Injector {
	return &Injector{holding: make(map[*lavtruth.Held]struct{})}
}

// Apply carries out a command.
func (i *Injector) Apply(command Command) {
	i.mu.Lock()
	if command.Clear {
		i.clear()
	}
	for _, fault := range command.Add {
		i.faults = append(i.faults, &active{Fault: fault, released: make(chan struct{})})
	}
	i.mu.Unlock()
	if i.OnSet == nil {
		return
	}
	for _, fault := range command.Add {
		i.OnSet(fault)
	}
}

func (i *Injector) clear() {
	for _, fault := range i.faults {
		close(fault.released)
	}
	i.faults = nil
}

// take returns the faults that hit a call and uses up one of the count of each.
func (i *Injector) take(call Call, kinds ...Kind) []*active {
	i.mu.Lock()
	defer i.mu.Unlock()
	var hit []*active
	kept := i.faults[:0:0]
	for _, fault := range i.faults {
		if !fault.hits(call) || !slices.Contains(kinds, fault.Kind) {
			kept = append(kept, fault)
			continue
		}
		hit = append(hit, fault)
		fault.Count--
		if fault.Count != 0 {
			kept = append(kept, fault)
		}
		if fault.Count == 0 && (fault.Kind == Hold || fault.Kind == HoldReply) {
			kept = append(kept, spent(fault))
		}
	}
	i.faults = kept
	return hit
}

// spent keeps a used up hold in the list, so that clearing releases it, without hitting another call.
func spent(fault *active) *active {
	fault.Step = "Spent"
	return fault
}

// Active tells whether a fault of the kind stands, and returns the first.
func (i *Injector) Active(kind Kind) (Fault, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, fault := range i.faults {
		if fault.Kind == kind {
			return fault.Fault, true
		}
	}
	return Fault{}, false
}

// Pass waits at a step as the faults say; it returns false when the call is refused.
func (i *Injector) Pass(ctx context.Context, call Call) bool {
	for _, fault := range i.take(call, Exit, Slow, Hold, Down) {
		switch fault.Kind {
		case Exit:
			os.Exit(exitCode)
		case Slow:
			pause(ctx, fault.Delay.Duration)
		case Hold:
			i.wait(ctx, call, fault)
		default:
			return false
		}
	}
	return true
}

// Do runs the effect of a call under the faults of its step and returns whether a reply may be written.
//
// It panics with http.ErrAbortHandler when the reply is lost.
func (i *Injector) Do(ctx context.Context, call Call, effect func()) bool {
	if !i.Pass(ctx, call) {
		return false
	}
	if late := i.take(call, LateWrite); len(late) > 0 {
		time.AfterFunc(late[0].Delay.Duration, effect)
		panic(http.ErrAbortHandler)
	}
	effect()
	for _, fault := range i.take(call, HoldReply) {
		i.wait(ctx, call, fault)
	}
	if len(i.take(call, ReplyLost)) > 0 {
		panic(http.ErrAbortHandler)
	}
	return true
}

func (i *Injector) wait(ctx context.Context, call Call, fault *active) {
	held := call.Held
	held.Since = time.Now()
	i.mu.Lock()
	i.holding[&held] = struct{}{}
	i.mu.Unlock()
	defer func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.holding, &held)
	}()
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxHeld)
	defer cancel()
	select {
	case <-fault.released:
	case <-limited.Done():
	}
}

// Holding lists the calls that wait now, the oldest first.
func (i *Injector) Holding() []lavtruth.Held {
	i.mu.Lock()
	defer i.mu.Unlock()
	held := make([]lavtruth.Held, 0, len(i.holding))
	for one := range i.holding {
		held = append(held, *one)
	}
	slices.SortFunc(held, func(a, b lavtruth.Held) int { return a.Since.Compare(b.Since) })
	return held
}

// Control answers POST /control.
func (i *Injector) Control(w http.ResponseWriter, request *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxControlSize))
	decoder.DisallowUnknownFields()
	var command Command
	if err := decoder.Decode(&command); err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "control body is not valid: "+err.Error(), "see docs/PLATFORM.md"))
		return
	}
	i.Apply(command)
	lavhttp.WriteJSON(w, http.StatusOK, command)
}

// Refuse answers a call that Pass or Do refused.
func Refuse(w http.ResponseWriter) {
	lavhttp.WriteError(w, laverror.New(laverror.KindStoreUnavailable, "the stand-in is down", "clear its faults on POST /control"))
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
