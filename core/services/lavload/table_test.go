package lavload

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavid"
)

func TestJobIsCountedUntilItEnds(t *testing.T) {
	is := is.New(t)
	table, now := New(), time.Unix(1000, 0)
	job := table.Start("server", 500, 700)
	is.Equal(table.Total("server", now), Load{Requests: 1, Unread: 500, Memory: 700})
	job.MarkPromptRead()
	is.Equal(table.Total("server", now), Load{Requests: 1, Memory: 700})
	job.End()
	is.Equal(table.Total("server", now), Load{})
	job.End() // a second End has no effect
	is.Equal(len(table.Own()), 0)
}

// A peer that stops reporting must not count as load forever; each part of its report expires separately.
func TestPeerReportExpires(t *testing.T) {
	is := is.New(t)
	table, now := New(), time.Unix(1000, 0)
	load := Load{Requests: 2, Unread: 100}
	table.SetPeerReport(Reporter{Host: "peer", Part: 0}, map[lavid.BackendServerID]Load{"server": load}, now)
	table.SetPeerReport(Reporter{Host: "peer", Part: 1}, map[lavid.BackendServerID]Load{"other": load}, now)
	is.Equal(table.Total("server", now), load)
	is.Equal(table.Total("other", now), load)
	table.SetPeerReport(Reporter{Host: "peer", Part: 0}, nil, now)
	is.Equal(table.Total("server", now), Load{})
	is.Equal(table.Total("other", now.Add(2*time.Second)), Load{})
}
