package lavload

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestJobIsCountedUntilItEnds(t *testing.T) {
	is := is.New(t)
	table, now := New(), time.Unix(1000, 0)
	job := table.Start("server", Load{Unread: 500, Memory: 700})
	is.Equal(table.Total("server", now), Load{Requests: 1, Unread: 500, Memory: 700})
	job.MarkPromptRead()
	is.Equal(table.Total("server", now), Load{Requests: 1, Memory: 700})
	job.End()
	is.Equal(table.Total("server", now), Load{})
	job.End() // a second End has no effect
	is.Equal(len(table.Own()), 0)
}

// A peer that stops reporting must not count as load forever.
func TestPeerReportExpires(t *testing.T) {
	is := is.New(t)
	table, now := New(), time.Unix(1000, 0)
	load := Load{Requests: 2, Unread: 100}
	until := now.Add(time.Second)
	table.SetPeers(map[ServerKey]Load{KeyOf("server"): load, KeyOf("other"): load}, now, until)
	is.Equal(table.Total("server", now), load)
	is.Equal(table.Total("other", until.Add(-1)), load)
	is.Equal(table.Total("other", until), Load{})
	table.SetPeers(map[ServerKey]Load{KeyOf("other"): load}, now, until)
	is.Equal(table.Total("server", now), Load{})
}

func TestOwnAndPeerLoadsAreAdded(t *testing.T) {
	is := is.New(t)
	table, now := New(), time.Unix(1000, 0)
	table.Start("server", Load{Unread: 500, Memory: 700})
	table.SetPeers(map[ServerKey]Load{KeyOf("server"): {Requests: 2, Unread: 100, Memory: 50}}, now, now.Add(time.Second))
	is.Equal(table.Total("server", now), Load{Requests: 3, Unread: 600, Memory: 750})
	is.Equal(table.Total("server", now.Add(time.Second)), Load{Requests: 1, Unread: 500, Memory: 700})
}
