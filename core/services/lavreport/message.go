package lavreport

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavforecast"
	"lavenderswitch/core/services/lavholding"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/core/services/lavnews"
	"lavenderswitch/core/services/lavnotice"
	"lavenderswitch/core/services/lavquarantine"
)

// HostKey identifies a host in sums. It is a hash of the host's ID.
type HostKey uint32

// KeyOf returns the key of a host.
func KeyOf(id lavid.HostID) HostKey {
	return HostKey(uint32(xxhash.Sum64String(string(id))))
}

// Sequence numbers the reports of a host. It wraps around.
type Sequence uint16

// after reports whether s is a later number than other.
func (s Sequence) after(other Sequence) bool { return int16(s-other) > 0 }

// Kind is the kind of a message.
type Kind int

// The kinds of messages.
const (
	// KindReport holds the sender's own state.
	KindReport Kind = iota
	// KindHello shows that the sender runs.
	KindHello
	// KindExchange holds the sum of the sender's data centre, for relays of other data centres.
	KindExchange
	// KindTotal holds the sum over all hosts, from a relay to the hosts that report to it.
	KindTotal
)

// Message is a datagram between two hosts. Each message replaces the one before, so that a lost one need not be sent again.
type Message struct {
	Kind Kind
	From lavring.Member
	// Sequence is the number of the sender's latest report.
	Sequence Sequence
	// Leaving states that the sender shuts down and accepts no new work.
	Leaving bool
	// Loads holds the sender's own loads in a report.
	Loads map[lavid.BackendServerID]lavload.Load
	// Speeds holds the speeds of backend servers that the sender has seen, in a report.
	Speeds map[lavload.ServerKey]lavforecast.Speed
	// Cutovers holds the sender's own counts in a report.
	Cutovers []lavcutover.Status
	// Sum is set in exchanges and totals.
	Sum Sum
	// IsRelay states that the sender of a report is a relay of its data centre, which makes totals itself.
	IsRelay bool
	// Exchanged holds the sums of other data centres in the report of one relay to the other.
	Exchanged []CentreSum
	// Members are hosts that the receiver may not know.
	Members []lavring.Member
	// News is what a relay knows of the store; nil if the sender is none.
	News *lavnews.News
	// Notices holds what backend servers have stated about new work, in every message with loads.
	Notices []lavnotice.Report
	// PromptParts holds which requests and parts of prompts backend servers ended with, in every message with loads.
	PromptParts lavquarantine.Findings
	// Holdings holds which beginnings of prompts backend servers have read, in every message with loads.
	Holdings []lavholding.Report
	// ForwardTo are addresses to which the receiver forwards the message, without this list.
	ForwardTo []string
}

// Envelope is a message and the addresses that it is sent to.
type Envelope struct {
	To      []string
	Message *Message
}

// Entry is the part of one host in a sum.
type Entry struct {
	Host     HostKey
	Sequence Sequence
	// Age is the time since the host made the report.
	Age     time.Duration
	Leaving bool
}

// CentreSum is the sum of the reports of a data centre.
type CentreSum struct {
	DataCentre lavid.DataCentreID
	Sum
}

// Sum is the sum of the latest reports of several hosts.
type Sum struct {
	Entries  []Entry
	Loads    map[lavload.ServerKey]lavload.Load
	Speeds   map[lavload.ServerKey]lavforecast.Speed
	Cutovers []lavcutover.Status
}
