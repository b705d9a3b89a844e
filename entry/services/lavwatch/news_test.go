package lavwatch

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavdirectory"
	"lavenderswitch/core/services/lavnews"
)

// hostFetcher fetches from the watcher of another host, unless that is unreachable.
type hostFetcher struct {
	host        *Watcher
	unreachable bool
	fetches     atomic.Int64
}

func (f *hostFetcher) Fetch(_ context.Context, _ string, part Part) (Snapshot, time.Duration, error) {
	f.fetches.Add(1)
	if f.unreachable {
		return Snapshot{}, 0, errors.New("unreachable")
	}
	snapshot, age, known := f.host.Snapshot(part, f.host.Clock())
	if !known {
		return Snapshot{}, 0, errors.New("unknown")
	}
	return snapshot, age, nil
}

// newPair returns a reader and another host that hears from it, before the same store. Their clock is set by the test.
func newPair(source *fakeSource) (reader, other *Watcher, fetcher *hostFetcher, now *time.Time) {
	current := time.Unix(1000, 0)
	now = &current
	newWatcher := func(rank lavnews.Rank) *Watcher {
		return &Watcher{
			Settings: Settings{
				Servers:     lavnews.Schedule{Host: "a", Bound: 2 * time.Second},
				Operations:  lavnews.Schedule{Host: "a", Bound: 2 * time.Second, Polled: true},
				CallTimeout: time.Second,
			},
			Source: source, Current: &Current{},
			Directory: lavdirectory.New(lavdirectory.Settings{ReturnGrace: 2 * time.Second, OutageGap: 3 * time.Second, SilentHold: 5 * time.Second}),
			OnOrders:  func([]lavcutover.Order, time.Time) {},
			Rank:      func() lavnews.Rank { return rank },
			Log:       discardLogger(),
			Clock:     func() time.Time { return *now },
		}
	}
	reader, other = newWatcher(0), newWatcher(lavnews.NotReader)
	fetcher = &hostFetcher{host: reader}
	other.Fetcher = fetcher
	return reader, other, fetcher, now
}

// hear lets a host hear from the reader and waits for what it fetches.
func hear(ctx context.Context, reader, other *Watcher) {
	other.Hear(ctx, reader.News("address", true, reader.Clock()), "reader", other.Clock())
	other.fetches.Wait()
}

// TestHostTakesOverWhatAReaderKnows guards against hosts that each read the store, and against content that is fetched again
// although it has not changed.
func TestHostTakesOverWhatAReaderKnows(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{version: 1, servers: []lavserver.Server{{ID: "a", Service: "pool"}}, operations: Operations{Table: table(3)}}
	reader, other, fetcher, now := newPair(source)
	reader.listServers(t.Context())
	reader.readOperations(t.Context())
	*now = now.Add(300 * time.Millisecond)
	hear(t.Context(), reader, other)
	is.Equal(len(other.Directory.Usable("pool", *now)), 1)
	is.Equal(other.Current.Table().Number, lavid.ConfigNumber(3))
	is.Equal(other.Current.Age(*now), 300*time.Millisecond) // as old as the reader's read
	is.Equal(source.reads, 2)
	is.Equal(fetcher.fetches.Load(), int64(2))
	*now = now.Add(time.Second)
	reader.listServers(t.Context())
	hear(t.Context(), reader, other)
	is.Equal(fetcher.fetches.Load(), int64(2)) // the same content is confirmed
	is.Equal(now.Sub(other.Directory.LastListing()), time.Duration(0))
	source.set(func(s *fakeSource) { s.servers = nil })
	*now = now.Add(time.Second)
	reader.listServers(t.Context())
	hear(t.Context(), reader, other)
	is.Equal(len(other.Directory.Usable("pool", *now)), 0)
}

// TestColdServerWarmsUpWhileTheListIsConfirmed guards against a server that stays cold for ever at a host that applies the
// same list again and again.
func TestColdServerWarmsUpWhileTheListIsConfirmed(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{version: 1, servers: []lavserver.Server{{ID: "a", Service: "pool", ColdFor: 2 * time.Second}}}
	reader, other, _, now := newPair(source)
	reader.listServers(t.Context())
	hear(t.Context(), reader, other)
	is.True(other.Directory.All()[0].Cold(*now))
	for range 5 {
		*now = now.Add(500 * time.Millisecond)
		reader.servers.Learn(lavrevision.Revision{Version: 1}, 1, *now, "") // the reader has confirmed the list
		hear(t.Context(), reader, other)
	}
	is.True(!other.Directory.All()[0].Cold(*now))
}

// TestHostReadsItselfOnceItsReadersAreSilent guards against a host that goes on with old knowledge because the hosts that read
// for it have gone, are cut off or cannot be reached.
func TestHostReadsItselfOnceItsReadersAreSilent(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{version: 1, servers: []lavserver.Server{{ID: "a", Service: "pool"}}}
	reader, other, fetcher, now := newPair(source)
	reader.listServers(t.Context())
	hear(t.Context(), reader, other)
	is.True(!other.awaitDue(t.Context(), other.Settings.Servers, &other.servers))
	source.set(func(s *fakeSource) { s.servers = nil })
	fetcher.unreachable = true
	*now = now.Add(500 * time.Millisecond)
	reader.listServers(t.Context())
	hear(t.Context(), reader, other) // it hears of the change and cannot fetch it
	is.Equal(len(other.Directory.Usable("pool", *now)), 1)
	*now = now.Add(800 * time.Millisecond)
	is.True(other.awaitDue(t.Context(), other.Settings.Servers, &other.servers)) // well within the bound
	other.listServers(t.Context())
	is.Equal(len(other.Directory.Usable("pool", *now)), 0)
}

// TestDamagedSnapshotChangesNothing guards against a list that another host sent in part.
func TestDamagedSnapshotChangesNothing(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{version: 1, servers: []lavserver.Server{{ID: "a", Service: "pool"}}}
	_, other, _, now := newPair(source)
	other.listServers(t.Context())
	*now = now.Add(time.Second)
	other.applyServers(Snapshot{Revision: lavrevision.Revision{Version: 9}, Digest: 9, Data: []byte("damaged")}, *now, "reader")
	is.Equal(len(other.Directory.Usable("pool", *now)), 1)
	is.Equal(other.servers.Edition(*now).Version, lavrevision.Version(1))
}

// TestDelayedConfirmationKeepsItsAge guards against hosts that do not read a new configuration as a reader tells them that nothing has
// changed until now, although the store's answer to the reader was on its way for seconds. On weak links of large fleets this broke the
// bound of configurations.
func TestDelayedConfirmationKeepsItsAge(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{version: 1, operations: Operations{Table: table(2)}}
	reader, _, _, now := newPair(source)
	_, ok := reader.readOperations(t.Context())
	is.True(ok)
	answeredAt := now.Add(time.Second)
	*now = now.Add(3 * time.Second)
	reader.confirmOperations(lavnews.Edition{Revision: lavrevision.Revision{Version: 1}, Digest: reader.operations.digest()}, answeredAt, "")
	is.Equal(reader.News("address", true, *now).Operations.Age, 2*time.Second)
}

// TestStartingHostServesWithThePartsOfALongList guards against hosts that serve nothing for many seconds after all have ended, as each
// reads a list of thousands of servers over a weak link, and against one that reads on although another host has told it the list.
func TestStartingHostServesWithThePartsOfALongList(t *testing.T) {
	is := is.New(t)
	all := []lavserver.Server{{ID: "a", Service: "pool"}, {ID: "b", Service: "pool"}, {ID: "c", Service: "pool"}}
	source := &fakeSource{version: 1, servers: all, parts: [][]lavserver.Server{all[:1], all[:2]}}
	reader, other, _, now := newPair(source)
	reader.listServers(t.Context())
	is.Equal(len(reader.Directory.All()), 3)

	read := 0
	_, err := source.ReadServers(t.Context(), func(servers []lavserver.Server) bool {
		read = len(servers)
		more := other.usePart(servers, *now)
		is.Equal(len(other.Directory.Usable("pool", *now)), 1)
		hear(t.Context(), reader, other)
		return more && other.usePart(servers, *now)
	})
	is.Equal(err, ErrNotNeeded)
	is.Equal(read, 1)
	is.Equal(len(other.Directory.All()), 3) // a part does not replace the whole list
}

// TestListingsOfAnEarlierEraAreNotApplied guards against servers that had left and take work again after the store came back from a copy,
// because a listing that another host had read before the return was taken for one that omits them.
func TestListingsOfAnEarlierEraAreNotApplied(t *testing.T) {
	is := is.New(t)
	left, sound := lavserver.Server{ID: "left", Service: "pool", Address: "left"}, lavserver.Server{ID: "sound", Service: "pool", Address: "sound"}
	source := &fakeSource{version: 1, era: 1, servers: []lavserver.Server{left, sound}, operations: Operations{Table: table(3)}}
	reader, other, _, now := newPair(source)
	advance := func() { *now = now.Add(300 * time.Millisecond) }
	reader.listServers(t.Context())
	reader.readOperations(t.Context())
	hear(t.Context(), reader, other)
	source.set(func(s *fakeSource) { s.servers = []lavserver.Server{sound} })
	advance()
	reader.listServers(t.Context())
	hear(t.Context(), reader, other)
	// The reader has read the list once more when the store returns from the copy, which the other host learns by itself.
	advance()
	reader.listServers(t.Context())
	source.set(func(s *fakeSource) { s.era, s.version, s.servers = 2, 0, []lavserver.Server{left, sound} })
	other.readOperations(t.Context())
	hear(t.Context(), reader, other)
	advance()
	reader.listServers(t.Context())
	hear(t.Context(), reader, other)
	is.Equal(other.Era(), lavrevision.Era(2))
	is.True(other.Directory.MayTake(sound, *now))
	is.True(!other.Directory.MayTake(left, *now))
}
