package lavreport

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/modules/lavring"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavforecast"
	"lavenderswitch/core/services/lavload"
	"lavenderswitch/core/services/lavrollout"
)

// TestCountsInAMessageDoNotChange guards against a host that ends because it encodes a message while the counts in it grow:
// the total of a relay held the counts of other data centres themselves.
func TestCountsInAMessageDoNotChange(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	peers := NewPeers(lavring.Member{ID: "relay", DataCentre: "centre-a", Address: "10.0.0.1:1"})
	node := NewNode(peers, lavload.New(), lavforecast.New(), lavcutover.New(lavcutover.Settings{}), nil, nil, now)
	key := lavcutover.Key{Service: "pool", Release: "v2", Kind: "chat"}
	exchange := func(trials float64) *Message {
		return &Message{
			Kind: KindExchange, From: lavring.Member{ID: "other", DataCentre: "centre-b", Address: "10.0.0.2:1"}, Sequence: Sequence(trials),
			Sum: Sum{Entries: []Entry{{Host: KeyOf("other"), Sequence: Sequence(trials)}}, Cutovers: []lavcutover.Status{{
				Progress: lavcutover.Progress{Service: "pool", To: "v2"},
				Counts:   map[lavcutover.Key]lavcutover.Counts{key: {Failures: lavrollout.Sample{Trials: trials}}},
			}}},
		}
	}
	node.Receive(&Message{Kind: KindReport, From: lavring.Member{ID: "host", DataCentre: "centre-a", Address: "10.0.0.3:1"}, Sequence: 1}, now)
	node.Receive(exchange(5), now)
	var total *Message
	for _, envelope := range node.Tick(now.Add(time.Millisecond)) {
		if envelope.Message.Kind == KindTotal {
			total = envelope.Message
		}
	}
	is.True(total != nil)
	is.Equal(total.Sum.Cutovers[0].Counts[key].Failures.Trials, 5.0)
	node.Receive(exchange(9), now.Add(2*time.Millisecond))
	is.Equal(total.Sum.Cutovers[0].Counts[key].Failures.Trials, 5.0)
}
