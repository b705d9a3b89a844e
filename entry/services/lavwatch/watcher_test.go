package lavwatch

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavrevision"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavdirectory"
	"lavenderswitch/core/services/lavnews"
	"lavenderswitch/core/services/lavrestore"
	"lavenderswitch/core/services/lavrollout"
)

func table(number lavid.ConfigNumber) *lavroute.Table {
	return lavroute.NewTable(number, nil, nil, nil, lavroute.Limits{}, false)
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// fakeSource is a store whose contents and availability the test sets.
type fakeSource struct {
	mu         sync.Mutex
	down       bool
	operations Operations
	era        lavrevision.Era
	version    lavrevision.Version
	servers    []lavserver.Server
	// parts are the parts of the list that arrive before the whole of it.
	parts [][]lavserver.Server
	// oldestVersion is the oldest version from which changes can be requested.
	oldestVersion lavrevision.Version
	// contents holds the content of each snapshot by its type and data, and reads the number of reads.
	contents map[string]any
	reads    int
}

func (s *fakeSource) set(change func(*fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	s.version++
}

var errDown = errors.New("store is down")

func (s *fakeSource) ReadServers(_ context.Context, onPart func([]lavserver.Server) bool) (Snapshot, error) {
	for _, part := range s.parts {
		if !onPart(part) {
			return Snapshot{}, ErrNotNeeded
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Snapshot{}, errDown
	}
	s.reads++
	return s.keep(s.servers), nil
}

func (s *fakeSource) ReadOperations(context.Context) (Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Snapshot{}, errDown
	}
	s.reads++
	return s.keep(s.operations), nil
}

// keep returns a snapshot whose data names the content, which is kept.
func (s *fakeSource) keep(content any) Snapshot {
	if s.contents == nil {
		s.contents = make(map[string]any)
	}
	name := fmt.Sprint(s.version)
	s.contents[fmt.Sprintf("%T", content)+name] = content
	return Snapshot{Revision: lavrevision.Revision{Era: s.era, Version: s.version}, Digest: lavnews.Digest(s.version), Data: []byte(name)}
}

func (s *fakeSource) DecodeServers(data []byte) ([]lavserver.Server, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	servers, ok := s.contents["[]lavserver.Server"+string(data)].([]lavserver.Server)
	if !ok {
		return nil, errors.New("damaged")
	}
	return servers, nil
}

func (s *fakeSource) DecodeOperations(data []byte) (Operations, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	operations, ok := s.contents["lavwatch.Operations"+string(data)].(Operations)
	if !ok {
		return Operations{}, errors.New("damaged")
	}
	return operations, nil
}

// OperatorRows and EncodeOperatorRows are not used, as the operations of this source have no rows.
func (s *fakeSource) OperatorRows(Snapshot) ([]lavrestore.Row, error) { return nil, nil }

func (s *fakeSource) EncodeOperatorRows([]lavrestore.Row) (Snapshot, error) { return Snapshot{}, nil }

func (s *fakeSource) WaitForChange(ctx context.Context, after lavrevision.Revision, _ time.Duration) (Change, error) {
	for ctx.Err() == nil {
		s.mu.Lock()
		down, now := s.down, lavrevision.Revision{Era: s.era, Version: s.version}
		gone := after.Version < s.oldestVersion || after.Era != s.era
		s.mu.Unlock()
		if down || gone {
			return Change{}, errDown
		}
		if now != after {
			return Change{Changed: true, Next: now}, nil
		}
		time.Sleep(time.Millisecond)
	}
	return Change{}, ctx.Err()
}

func startWatcher(t *testing.T, source *fakeSource) *Watcher {
	t.Helper()
	watcher := &Watcher{
		Settings: Settings{
			Servers:     lavnews.Schedule{Host: "a", Bound: 25 * time.Millisecond},
			Operations:  lavnews.Schedule{Host: "a", Bound: 100 * time.Millisecond, Polled: true},
			CallTimeout: 50 * time.Millisecond, RetryPause: 5 * time.Millisecond,
		},
		Source:    source,
		Current:   &Current{},
		Directory: lavdirectory.New(lavdirectory.Settings{ReturnGrace: 50 * time.Millisecond, OutageGap: time.Second}),
		OnOrders:  func([]lavcutover.Order, time.Time) {},
		Rank:      func() lavnews.Rank { return 0 },
		Log:       discardLogger(),
		Clock:     time.Now,
	}
	ctx, cancel := context.WithCancel(context.Background())
	go watcher.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-watcher.Done()
	})
	return watcher
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 400 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition not met in time: " + what)
}

// TestOlderConfigurationIsNotPutInForce guards against a late or repeated read that puts an older configuration, or
// none, in force.
func TestOlderConfigurationIsNotPutInForce(t *testing.T) {
	is := is.New(t)
	var current Current
	is.True(current.Update(table(4)))
	is.True(!current.Update(table(3)))
	is.True(!current.Update(table(4)))
	is.True(!current.Update(nil))
	is.Equal(current.Table().Number, lavid.ConfigNumber(4))
}

// TestConfigurationChangedDuringAnOutageComesIntoForce guards against a watcher that misses changes made while it
// could not read the store.
func TestConfigurationChangedDuringAnOutageComesIntoForce(t *testing.T) {
	is := is.New(t)
	source := &fakeSource{version: 1}
	watcher := startWatcher(t, source)
	is.True(watcher.Current.Table() == nil)
	source.set(func(s *fakeSource) { s.operations.Table = table(2) })
	eventually(t, "the first configuration", func() bool { return watcher.Current.Table() != nil })
	source.set(func(s *fakeSource) { s.down = true })
	eventually(t, "the outage", func() bool { return watcher.Current.Age(time.Now()) > 30*time.Millisecond })
	source.set(func(s *fakeSource) { s.down, s.operations.Table = false, table(9) })
	eventually(t, "the change made meanwhile", func() bool { return watcher.Current.Table().Number == 9 })
}

// TestConfigurationComesIntoForceWhenTheChangeHistoryIsGone guards against a watcher that stays on an old
// configuration after the store has dropped the changes since the version that the watcher read last.
func TestConfigurationComesIntoForceWhenTheChangeHistoryIsGone(t *testing.T) {
	source := &fakeSource{version: 1, operations: Operations{Table: table(2)}}
	watcher := startWatcher(t, source)
	eventually(t, "the first configuration", func() bool { return watcher.Current.Table() != nil })
	source.set(func(s *fakeSource) { s.operations.Table, s.oldestVersion = table(9), s.version+1 })
	eventually(t, "the change", func() bool { return watcher.Current.Table().Number == 9 })
}

// TestServersStayUsableDuringAStoreOutage guards against taking servers out of use because the store does not answer.
// A server that the store no longer lists is taken out of use after a grace.
func TestServersStayUsableDuringAStoreOutage(t *testing.T) {
	source := &fakeSource{servers: []lavserver.Server{{ID: "a", Service: "pool", DataCentre: "centre-a"}}}
	watcher := startWatcher(t, source)
	usable := func() int { return len(watcher.Directory.Usable("pool", time.Now())) }
	eventually(t, "the server", func() bool { return usable() == 1 })
	source.set(func(s *fakeSource) { s.down = true })
	time.Sleep(30 * time.Millisecond)
	is.New(t).Equal(usable(), 1)
	source.set(func(s *fakeSource) { s.down, s.servers = false, nil })
	eventually(t, "the end of the grace", func() bool { return usable() == 0 })
}

// TestServersOfAnEvacuatedDataCentreAreNotUsable guards against sending requests to a data centre that operators have
// evacuated.
func TestServersOfAnEvacuatedDataCentreAreNotUsable(t *testing.T) {
	source := &fakeSource{servers: []lavserver.Server{{ID: "a", Service: "pool", DataCentre: "centre-a"}}}
	watcher := startWatcher(t, source)
	eventually(t, "the server", func() bool { return len(watcher.Directory.Usable("pool", time.Now())) == 1 })
	source.set(func(s *fakeSource) { s.operations.Evacuated = []lavid.DataCentreID{"centre-a"} })
	eventually(t, "the evacuation", func() bool { return len(watcher.Directory.Usable("pool", time.Now())) == 0 })
}

// fakeCutoverStore stores one cutover and can lose the replies to writes.
type fakeCutoverStore struct {
	mu          sync.Mutex
	rows        []CutoverRow
	version     lavrevision.Version
	loseReplies bool
}

func (c *fakeCutoverStore) Cutovers(context.Context) ([]CutoverRow, lavrevision.Revision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]CutoverRow(nil), c.rows...), lavrevision.Revision{Version: c.version}, nil
}

func (c *fakeCutoverStore) WriteCutover(_ context.Context, change lavcutover.Change) (lavrevision.Revision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rows) > 0 && c.rows[0].Revision != change.Revision {
		return lavrevision.Revision{}, errors.New("conflict")
	}
	c.version++
	c.rows = []CutoverRow{{Progress: change.Progress, Revision: lavrevision.Revision{Version: c.version}}}
	if c.loseReplies {
		return lavrevision.Revision{}, errors.New("reply lost")
	}
	return c.rows[0].Revision, nil
}

// TestCutoverIsWrittenOnceWhenTheReplyIsLost guards against a second write of a cutover whose first write succeeded
// without a reply.
func TestCutoverIsWrittenOnceWhenTheReplyIsLost(t *testing.T) {
	is := is.New(t)
	store := &fakeCutoverStore{loseReplies: true}
	cutovers := lavcutover.New(lavcutover.Settings{TrialShare: 0.1, Test: lavrollout.DefaultSettings(), StopEvidence: 100})
	driver := &CutoverDriver{
		Cutovers:    cutovers,
		Store:       store,
		Rank:        func(lavid.ServiceID) int { return 0 },
		Busy:        func(lavid.ServiceID, lavid.ReleaseID) bool { return false },
		Reads:       func() bool { return true },
		CallTimeout: time.Second,
		Log:         discardLogger(),
		Clock:       time.Now,
	}
	ctx, cancel := context.WithCancel(context.Background())
	go driver.Run(ctx)
	cutovers.SetOrders([]lavcutover.Order{{Service: "pool", To: "v2", Duration: time.Minute}}, time.Now())
	eventually(t, "the cutover", func() bool {
		rows := cutovers.Statuses()
		return len(rows) == 1 && rows[0].Progress.State == lavcutover.Running
	})
	cancel()
	<-driver.Done()
	is.Equal(store.version, lavrevision.Version(1)) // The driver reads the row again instead of writing it a second time.
}

// failingCutoverStore rejects every write.
type failingCutoverStore struct{ fakeCutoverStore }

func (*failingCutoverStore) WriteCutover(context.Context, lavcutover.Change) (lavrevision.Revision, error) {
	return lavrevision.Revision{}, errDown
}

// TestFailedWriteIsNotLoggedAsWritten guards against a log that shows a roll-out as begun or stopped although its row was not
// written.
func TestFailedWriteIsNotLoggedAsWritten(t *testing.T) {
	is := is.New(t)
	log, hook := test.NewNullLogger()
	driver := &CutoverDriver{Cutovers: lavcutover.New(lavcutover.Settings{}), Store: &failingCutoverStore{}, CallTimeout: time.Second, Log: log, Clock: time.Now}
	driver.writeChange(t.Context(), lavcutover.Change{Progress: lavcutover.Progress{Service: "pool", To: "v2", State: lavcutover.Running}})
	is.Equal(len(hook.AllEntries()), 1)
	is.True(hook.LastEntry().Message != "cutover written")
	is.Equal(hook.LastEntry().Level, logrus.WarnLevel)
}

// TestServersAreNoticedBeforeTheyCanTakeRequests guards against requests for servers of a new release before the cutovers know that it
// has appeared, and against a starting host that takes all releases for new ones.
func TestServersAreNoticedBeforeTheyCanTakeRequests(t *testing.T) {
	is := is.New(t)
	directory := lavdirectory.New(lavdirectory.Settings{})
	var initials []bool
	watcher := &Watcher{
		Directory: directory, Log: discardLogger(), Clock: time.Now,
		OnServers: func(servers []lavserver.Server, initial bool, now time.Time) {
			is.True(len(directory.Usable("pool", now)) < len(servers)) // not applied yet
			initials = append(initials, initial)
		},
	}
	first, second, third := lavserver.Server{ID: "a", Service: "pool"}, lavserver.Server{ID: "b", Service: "pool"}, lavserver.Server{ID: "c", Service: "pool"}
	now := time.Now()
	is.True(watcher.usePart([]lavserver.Server{first}, now))
	watcher.applyListing([]lavserver.Server{first, second}, lavrevision.Revision{}, now, "")
	watcher.applyListing([]lavserver.Server{first, second, third}, lavrevision.Revision{}, now, "")
	is.Equal(initials, []bool{true, true, false})
	is.Equal(len(directory.Usable("pool", now)), 3)
}
