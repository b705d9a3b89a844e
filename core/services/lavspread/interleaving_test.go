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
	// sent is when the request was sent; a reply keeps the time of its request.
	sent  time.Time
	body  *lavwire.ConfigExchange
	reply bool
}

// storeReply is the reply of the store to a read that started earlier.
type storeReply struct {
	to      int
	started time.Time
	rows    *memoryRows
}

// numberSample is the number of one host at one time.
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
	// history holds the samples of each host, by its index.
	history [][]numberSample
	patches int
}

const hostCount = 5

func newSimulation() *simulation {
	s := &simulation{now: time.Unix(1_000_000, 0), rows: newMemoryRows(), history: make([][]numberSample, hostCount)}
	for i := range hostCount {
		self := lavmembership.Member{ID: lavid.HostID(fmt.Sprint("host-", i)), DataCentre: lavid.DataCentreID(fmt.Sprint("dc-", i%3))}
		s.hosts = append(s.hosts, NewReplica(self, NewCurrent()))
	}
	return s
}

func drawHost(t *rapid.T) int { return rapid.IntRange(0, hostCount-1).Draw(t, "host") }

// drawFrom draws an element, which stays in the list if it may be drawn again; it reports false for an empty list.
func drawFrom[T any](t *rapid.T, from *[]T) (T, bool) {
	var zero T
	if len(*from) == 0 {
		return zero, false
	}
	i := rapid.IntRange(0, len(*from)-1).Draw(t, "index")
	drawn := (*from)[i]
	if !rapid.Bool().Draw(t, "again") {
		*from = append((*from)[:i:i], (*from)[i+1:]...)
	}
	return drawn, true
}

func (s *simulation) advance(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "millis")) * time.Millisecond)
}

func (s *simulation) submit(t *rapid.T) {
	base := s.hosts[drawHost(t)].Current.Document().WithTables()
	s.patches++
	operations := fmt.Sprintf(`[{"op":"add","path":"/Services/s%d","value":{}}]`, s.patches)
	s.write(t, Patch{ID: lavid.PatchID(fmt.Sprint("patch-", s.patches)), Base: base.Number, Operations: json.RawMessage(operations)}, base)
}

func (s *simulation) resubmit(t *rapid.T) {
	if patch, ok := drawFrom(t, &s.inDoubt); ok {
		s.write(t, patch, s.rows.document(patch.Base))
	}
}

// write sends the insert of a patch. The store may lose the reply, or apply the write late or never.
func (s *simulation) write(t *rapid.T, patch Patch, base *lavconfig.Document) {
	insert, err := buildInsert(base, patch, s.now)
	if err != nil {
		t.Fatal(err)
	}
	switch rapid.SampledFrom([]string{"answered", "replyLost", "late"}).Draw(t, "outcome") {
	case "answered":
		accepted, err := insertRow(t.Context(), s.rows, insert, patch)
		if err == nil {
			s.accepted = append(s.accepted, acceptedPatch{s.now, accepted.Document.Number, patch.ID})
			_ = s.hosts[drawHost(t)].AdoptAccepted(accepted, s.now)
		} else if !laverror.Is(err, laverror.KindConflict) {
			t.Fatal(err)
		}
		return
	case "replyLost":
		_, _ = s.rows.Insert(t.Context(), insert)
	case "late":
		s.lateInserts = append(s.lateInserts, insert)
	}
	s.inDoubt = append(s.inDoubt, patch)
}

func (s *simulation) applyLateInsert(t *rapid.T) {
	if insert, ok := drawFrom(t, &s.lateInserts); ok {
		_, _ = s.rows.Insert(t.Context(), insert)
	}
}

func (s *simulation) startRead(t *rapid.T) {
	s.reads = append(s.reads, storeReply{drawHost(t), s.now, s.rows.copy()})
}

func (s *simulation) endRead(t *rapid.T) {
	if read, ok := drawFrom(t, &s.reads); ok {
		if err := s.hosts[read.to].ReadNewer(t.Context(), read.rows, read.started); err != nil {
			// A copy of the store made before this host's number was accepted lacks that row, which ends the read.
			return
		}
	}
}

func (s *simulation) request(t *rapid.T) {
	from := drawHost(t)
	body := s.hosts[from].StatusMessage(false)
	body.Push = rapid.Bool().Draw(t, "push")
	s.messages = append(s.messages, message{from: from, to: drawHost(t), sent: s.now, body: body})
}

func (s *simulation) deliver(t *rapid.T) {
	m, ok := drawFrom(t, &s.messages)
	if !ok {
		return
	}
	if m.reply {
		if s.hosts[m.to].Apply(m.body, s.now) == nil {
			s.hosts[m.to].MergeReply(m.body, m.sent)
		}
		return
	}
	reply, err := s.hosts[m.to].Answer(m.body, false, s.now)
	if err != nil {
		t.Fatal(err)
	}
	s.messages = append(s.messages, message{from: m.to, to: m.from, sent: m.sent, body: reply, reply: true})
}

func (s *simulation) loseMessage(t *rapid.T) { drawFrom(t, &s.messages) }

// check compares the state of every host with the actual history of the simulation.
func (s *simulation) check(t *rapid.T) {
	for i, replica := range s.hosts {
		freshness := replica.Current.Freshness()
		if samples := s.history[i]; len(samples) > 0 && samples[len(samples)-1].number > freshness.Number {
			t.Fatalf("number of host %d decreased from %d to %d", i, samples[len(samples)-1].number, freshness.Number)
		}
		s.history[i] = append(s.history[i], numberSample{s.now, freshness.Number})
		s.checkDocument(t, replica)
		for _, patch := range s.accepted {
			if patch.at.Before(freshness.StoreConfirmed) && patch.number > freshness.Number {
				t.Fatalf("host %d has a store confirmation of %v but lacks configuration %d, accepted at %v", i, freshness.StoreConfirmed, patch.number, patch.at)
			}
		}
	}
	for i, replica := range s.hosts {
		freshness := replica.Current.Freshness()
		for id, confirmed := range freshness.PeerConfirmed {
			if !s.confirmedByHost(id, confirmed, freshness.Number) {
				t.Fatalf("host %d has a confirmation of data centre %s at %v for number %d that no host gave", i, id, confirmed, freshness.Number)
			}
		}
	}
	for _, patch := range s.accepted {
		if s.rows.writer(patch.number) != patch.id {
			t.Fatalf("accepted patch %s is not configuration %d", patch.id, patch.number)
		}
	}
}

func (s *simulation) checkDocument(t *rapid.T, replica *Replica) {
	document := replica.Current.Document()
	if document == nil {
		return
	}
	held, _ := json.Marshal(document)
	stored, _ := json.Marshal(s.rows.document(document.Number))
	if string(held) != string(stored) {
		t.Fatalf("configuration %d differs from the store: %s, %s", document.Number, held, stored)
	}
}

// confirmedByHost reports whether some host of a data centre had no number above number just before at.
func (s *simulation) confirmedByHost(id lavid.DataCentreID, at time.Time, number lavid.ConfigNumber) bool {
	for i, replica := range s.hosts {
		if replica.Self.DataCentre != id {
			continue
		}
		held := lavid.ConfigNumber(0)
		for _, samples := range s.history[i] {
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
		s := newSimulation()
		t.Repeat(map[string]func(*rapid.T){
			"advance": s.advance, "submit": s.submit, "resubmit": s.resubmit, "takeEffect": s.applyLateInsert,
			"startRead": s.startRead, "endRead": s.endRead, "request": s.request, "deliver": s.deliver,
			"deliverAgain": s.deliver, "lose": s.loseMessage, "": s.check,
		})
	})
}
