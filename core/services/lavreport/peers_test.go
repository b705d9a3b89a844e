package lavreport

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavring"
)

// TestReplacementNeedsEnoughReadyHosts guards against a host that shuts down its listener early when load balancers
// have no, or too few, other hosts for its callers.
func TestReplacementNeedsEnoughReadyHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name     string
		local    []bool // whether each other host of the data centre is leaving
		remote   []bool
		replaced bool
	}{
		{"alone", nil, nil, false},
		{"the other one of its data centre is ready", []bool{false}, nil, true},
		{"all are leaving", []bool{true}, []bool{true, true}, false},
		{"only another data centre is ready", []bool{true}, []bool{false}, true},
		{"under half of its data centre is ready", []bool{false, true, true}, []bool{false}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			peers := NewPeers(lavring.Member{ID: "self", DataCentre: "local"})
			for centre, hosts := range map[lavid.DataCentreID][]bool{"local": test.local, "remote": test.remote} {
				for i, leaving := range hosts {
					peers.recordMessage(lavring.Member{ID: lavid.HostID(fmt.Sprint(centre, i)), DataCentre: centre}, leaving, now)
				}
			}
			is.Equal(peers.HasReplacement(now), test.replaced)
			is.Equal(peers.HasReplacement(now.Add(liveTimeout)), false) // no recent messages
		})
	}
}
