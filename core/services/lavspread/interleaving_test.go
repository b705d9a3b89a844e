package lavspread

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavmembership"
	"lavenderswitch/wire/lavwire"
)

// message is a request or a reply in transit; it may arrive late, twice or never.
type message struct {
	from, to int
	sent     time.Time
	body     *lavwire.ConfigExchange
	reply    bool
}

// storeReply is the reply of the store to a read that started earlier.
type storeReply struct {
	to      int
	started time.Time
	rows    *memoryRows
}

type numberSample struct {
	at     time.Time
	number lavid.ConfigNumber
}

type acceptedPatch struct {
	at     time.Time
	number lavid.ConfigNumber
	id     lavid.PatchID
}

// simulation is a store, a few hosts and the messages in transit between them, with a simulated clock.
type simulation struct {
	now         time.Time
	rows        *memoryRows
	hosts       []*Replica
	messages    []message
	reads       []storeReply
	lateInserts []lavplatform.Insert
	inDoubt     []Patch
	accepted    []acceptedPatch
	history     [][]numberSample
	patches     int
}

const hostCount = 5

func newSimulation() *simulation {
	w := &simulation{now: time.Unix(1_000_000, 0), rows: newMemoryRows(), history: make([][]numberSample, hostCount)}
	for i := range hostCount {
		self := lavmembership.Member{ID: lavid.HostID(fmt.Sprint("host-", i)), DataCentre: lavid.DataCentreID(fmt.Sprint("dc-", i%3))}
		w.hosts = append(w.hosts, NewReplica(self, NewCurrent()))
	}
	return w
}

func drawHost(t *rapid.T) int { return rapid.IntRange(0, hostCount-1).Draw(t, "node") }

func drawFrom[T any](t *rapid.T, from *[]T) (T, bool) {
	var none T
	if len(*from) == 0 {
		return none, false
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, "index")
	taken := (*from)[i]
	if !rapid.Bool().Draw(t, "again") {
		*from = append((*from)[:i:i], (*from)[i+1:]...)
	}
	return taken, true
}

func (w *simulation) advance(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "millis")) * time.Millisecond)
}

func (w *simulation) submit(t *rapid.T) {
	base := w.hosts[drawHost(t)].Current.Document().WithTables()
	w.patches++
	operations := fmt.Sprintf(`[{"op":"add","path":"/Services/s%d","value":{}}]`, w.patches)
	w.write(t, Patch{ID: lavid.PatchID(fmt.Sprint("patch-", w.patches)), Base: base.Number, Operations: json.RawMessage(operations)}, base)
}

func (w *simulation) resubmit(t *rapid.T) {
	if patch, ok := drawFrom(t, &w.inDoubt); ok {
		w.write(t, patch, w.rows.document(patch.Base))
	}
}

// write sends the insert of a patch. The store may lose the reply, or apply the write late or never.
func (w *simulation) write(t *rapid.T, patch Patch, base *lavconfig.Document) {
	insert, err := buildInsert(base, patch, w.now)
	if err != nil {
		t.Fatal(err)
	}
	switch rapid.SampledFrom([]string{"answered", "replyLost", "late"}).Draw(t, "outcome") {
	case "answered":
		accepted, err := insertRow(t.Context(), w.rows, insert, patch)
		if err == nil {
			w.accepted = append(w.accepted, acceptedPatch{w.now, accepted.Document.Number, patch.ID})
			_ = w.hosts[drawHost(t)].AdoptAccepted(accepted, w.now)
		} else if !laverror.Is(err, laverror.KindConflict) {
			t.Fatal(err)
		}
		return
	case "replyLost":
		_, _ = w.rows.Insert(t.Context(), insert)
	case "late":
		w.lateInserts = append(w.lateInserts, insert)
	}
	w.inDoubt = append(w.inDoubt, patch)
}

func (w *simulation) applyLateInsert(t *rapid.T) {
	if insert, ok := drawFrom(t, &w.lateInserts); ok {
		_, _ = w.rows.Insert(t.Context(), insert)
	}
}

func (w *simulation) startRead(t *rapid.T) {
	w.reads = append(w.reads, storeReply{drawHost(t), w.now, w.rows.copy()})
}

func (w *simulation) endRead(t *rapid.T) {
	if read, ok := drawFrom(t, &w.reads); ok {
		if err := w.hosts[read.to].ReadNewer(t.Context(), read.rows, read.started); err != nil {
			// A copy of the store made before this host's number was accepted lacks that row, which ends the read.
			return
		}
	}
}

func (w *simulation) request(t *rapid.T) {
	from := drawHost(t)
	body := w.hosts[from].StatusMessage(false)
	body.Push = rapid.Bool().Draw(t, "push")
	w.messages = append(w.messages, message{from: from, to: drawHost(t), sent: w.now, body: body})
}

func (w *simulation) deliver(t *rapid.T) {
	m, ok := drawFrom(t, &w.messages)
	if !ok {
		return
	}
	if m.reply {
		if w.hosts[m.to].Apply(m.body, w.now) == nil {
			w.hosts[m.to].MergeReply(m.body, m.sent)
		}
		return
	}
	reply, err := w.hosts[m.to].Answer(m.body, false, w.now)
	if err != nil {
		t.Fatal(err)
	}
	w.messages = append(w.messages, message{from: m.to, to: m.from, sent: m.sent, body: reply, reply: true})
}

func (w *simulation) lose(t *rapid.T) { drawFrom(t, &w.messages) }

// check compares the state of every host with the actual history of the simulation.
func (w *simulation) check(t *rapid.T) {
	for i, replica := range w.hosts {
		freshness := replica.Current.Freshness()
		if samples := w.history[i]; len(samples) > 0 && samples[len(samples)-1].number > freshness.Number {
			t.Fatalf("number of host %d decreased from %d to %d", i, samples[len(samples)-1].number, freshness.Number)
		}
		w.history[i] = append(w.history[i], numberSample{w.now, freshness.Number})
		w.checkDocument(t, replica)
		for _, patch := range w.accepted {
			if patch.at.Before(freshness.StoreConfirmed) && patch.number > freshness.Number {
				t.Fatalf("host %d has a store confirmation of %v but lacks configuration %d, accepted at %v", i, freshness.StoreConfirmed, patch.number, patch.at)
			}
		}
	}
	for i, replica := range w.hosts {
		freshness := replica.Current.Freshness()
		for id, confirmed := range freshness.PeerConfirmed {
			if !w.confirmedByHost(id, confirmed, freshness.Number) {
				t.Fatalf("host %d has a confirmation of data centre %s at %v for number %d that no host gave", i, id, confirmed, freshness.Number)
			}
		}
	}
	for _, patch := range w.accepted {
		if w.rows.writer(patch.number) != patch.id {
			t.Fatalf("accepted patch %s is not configuration %d", patch.id, patch.number)
		}
	}
}

func (w *simulation) checkDocument(t *rapid.T, replica *Replica) {
	document := replica.Current.Document()
	if document == nil {
		return
	}
	held, _ := json.Marshal(document)
	stored, _ := json.Marshal(w.rows.document(document.Number))
	if string(held) != string(stored) {
		t.Fatalf("configuration %d differs from the store: %s, %s", document.Number, held, stored)
	}
}

// confirmedByHost reports whether some host of a data centre had no number above number just before at.
func (w *simulation) confirmedByHost(id lavid.DataCentreID, at time.Time, number lavid.ConfigNumber) bool {
	for i, replica := range w.hosts {
		if replica.Self.DataCentre != id {
			continue
		}
		held := lavid.ConfigNumber(0)
		for _, samples := range w.history[i] {
			if samples.at.Before(at) {
				held = samples.number
			}
		}
		if held <= number {
			return true
		}
	}
	return false
}

// TestNumbersNeverDecreaseOverRandomInterleavings guards against lost, late or repeated messages and store replies that
// lower a number, change a document or produce a confirmation that no host gave.
func TestNumbersNeverDecreaseOverRandomInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"advance": w.advance, "submit": w.submit, "resubmit": w.resubmit, "takeEffect": w.applyLateInsert,
			"startRead": w.startRead, "endRead": w.endRead, "request": w.request, "deliver": w.deliver,
			"deliverAgain": w.deliver, "lose": w.lose, "": w.check,
		})
	})
}
