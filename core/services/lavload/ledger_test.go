package lavload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
)

func TestJobIsCountedUntilItEnds(t *testing.T) {
	is := is.New(t)
	ledger, now := New(), time.Unix(1000, 0)
	job := ledger.Start("server", 500, 700)
	is.Equal(ledger.Total("server", now), Load{Requests: 1, Unread: 500, Memory: 700})
	job.MarkPromptRead()
	is.Equal(ledger.Total("server", now), Load{Requests: 1, Memory: 700})
	job.End()
	is.Equal(ledger.Total("server", now), Load{})
	job.End() // a second End has no effect
	is.Equal(len(ledger.Own()), 0)
}

// A peer that stops reporting must not count as load forever; each part of its report expires separately.
func TestPeerReportExpires(t *testing.T) {
	is := is.New(t)
	ledger, now := New(), time.Unix(1000, 0)
	load := Load{Requests: 2, Unread: 100}
	ledger.SetPeerReport(Reporter{Host: "peer", Part: 0}, map[lavid.BackendServerID]Load{"server": load}, now)
	ledger.SetPeerReport(Reporter{Host: "peer", Part: 1}, map[lavid.BackendServerID]Load{"other": load}, now)
	is.Equal(ledger.Total("server", now), load)
	is.Equal(ledger.Total("other", now), load)
	ledger.SetPeerReport(Reporter{Host: "peer", Part: 0}, nil, now)
	is.Equal(ledger.Total("server", now), Load{})
	is.Equal(ledger.Total("other", now.Add(2*time.Second)), Load{})
}
