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
	// exitCode is the exit code of a process that the fault Exit ends.
	exitCode        = 3
	maxHoldTime     = 10 * time.Minute
	maxControlBytes = 1 << 20
)

// activeFault is a fault that was set. released is closed when it is cleared.
type activeFault struct {
	Fault
	released chan struct{}
}

// Injector holds the faults of a stand-in and applies them to its calls.
type Injector struct {
	// OnSet is called with each fault when it is set.
	OnSet func(fault Fault)

	mu        sync.Mutex
	faults    []*activeFault
	heldCalls map[*lavtruth.HeldCall]struct{}
}

// New returns an injector without faults.
func New() *Injector {
	return &Injector{heldCalls: make(map[*lavtruth.HeldCall]struct{})}
}

// Apply clears faults and adds faults as a command requires.
func (i *Injector) Apply(command Command) {
	i.mu.Lock()
	if command.Clear {
		i.clear()
	}
	for _, fault := range command.Add {
		i.faults = append(i.faults, &activeFault{Fault: fault, released: make(chan struct{})})
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

// consume returns the faults of the given kinds that match a call, and decrements the count of each. A
// fault whose count reaches zero is removed, or marked as exhausted when it holds calls.
func (i *Injector) consume(call Call, kinds ...Kind) []*activeFault {
	i.mu.Lock()
	defer i.mu.Unlock()
	var matched []*activeFault
	remaining := i.faults[:0:0]
	for _, fault := range i.faults {
		if !fault.matches(call) || !slices.Contains(kinds, fault.Kind) {
			remaining = append(remaining, fault)
			continue
		}
		matched = append(matched, fault)
		fault.Count--
		if fault.Count != 0 {
			remaining = append(remaining, fault)
		}
		if fault.Count == 0 && (fault.Kind == Hold || fault.Kind == HoldReply) {
			remaining = append(remaining, markExhausted(fault))
		}
	}
	i.faults = remaining
	return matched
}

// markExhausted makes a hold match no further call. The fault stays in the list, because clearing the list releases its
// held calls.
func markExhausted(fault *activeFault) *activeFault {
	fault.Step = "Spent"
	return fault
}

// Active returns the first fault of a kind and reports whether there is one.
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

// Admit applies the faults of a step that precede the effect of a call and reports whether the call may take effect.
func (i *Injector) Admit(ctx context.Context, call Call) bool {
	for _, fault := range i.consume(call, Exit, Slow, Hold, Down) {
		switch fault.Kind {
		case Exit:
			os.Exit(exitCode)
		case Slow:
			pause(ctx, fault.Delay.Duration)
		case Hold:
			i.hold(ctx, call, fault)
		default:
			return false
		}
	}
	return true
}

// Do runs the effect of a call and applies the faults of its step. It reports whether a reply may be written.
//
// It panics with http.ErrAbortHandler when the reply is to be lost.
func (i *Injector) Do(ctx context.Context, call Call, effect func()) bool {
	if !i.Admit(ctx, call) {
		return false
	}
	if late := i.consume(call, LateWrite); len(late) > 0 {
		time.AfterFunc(late[0].Delay.Duration, effect)
		panic(http.ErrAbortHandler)
	}
	effect()
	for _, fault := range i.consume(call, HoldReply) {
		i.hold(ctx, call, fault)
	}
	if len(i.consume(call, ReplyLost)) > 0 {
		panic(http.ErrAbortHandler)
	}
	return true
}

// hold waits until a fault is released, but at most for maxHoldTime. It does not end with the connection of the caller.
func (i *Injector) hold(ctx context.Context, call Call, fault *activeFault) {
	held := call.HeldCall
	held.Since = time.Now()
	i.mu.Lock()
	i.heldCalls[&held] = struct{}{}
	i.mu.Unlock()
	defer func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		delete(i.heldCalls, &held)
	}()
	holdContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), maxHoldTime)
	defer cancel()
	select {
	case <-fault.released:
	case <-holdContext.Done():
	}
}

// HeldCalls returns the calls that are held, oldest first.
func (i *Injector) HeldCalls() []lavtruth.HeldCall {
	i.mu.Lock()
	defer i.mu.Unlock()
	held := make([]lavtruth.HeldCall, 0, len(i.heldCalls))
	for call := range i.heldCalls {
		held = append(held, *call)
	}
	slices.SortFunc(held, func(a, b lavtruth.HeldCall) int { return a.Since.Compare(b.Since) })
	return held
}

// Control handles POST /control, whose body is a Command.
func (i *Injector) Control(w http.ResponseWriter, request *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, request.Body, maxControlBytes))
	decoder.DisallowUnknownFields()
	var command Command
	if err := decoder.Decode(&command); err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "decode control body: "+err.Error(), "see docs/PLATFORM.md"))
		return
	}
	i.Apply(command)
	lavhttp.WriteJSON(w, http.StatusOK, command)
}

// WriteRefusal writes the error reply to a call that Admit or Do refused.
func WriteRefusal(w http.ResponseWriter) {
	lavhttp.WriteError(w, laverror.New(laverror.KindStoreUnavailable, "stand-in refuses the call because of a fault", "clear the faults with POST /control"))
}

// pause waits for length or until ctx ends.
func pause(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
