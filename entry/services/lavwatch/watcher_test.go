package lavwatch

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/models/lavserver"
	"lavenderswitch/core/services/lavcutover"
	"lavenderswitch/core/services/lavdirectory"
	"lavenderswitch/core/services/lavrollout"
)

func table(number lavid.ConfigNumber) *lavroute.Table {
	return lavroute.NewTable(number, nil, nil, nil, lavroute.Limits{}, false)
}

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// scripted is a store whose state the test sets.
type scripted struct {
	mu         sync.Mutex
	down       bool
	operations Operations
	version    Version
	servers    []lavserver.Server
	// floor is the version before which the history is gone.
	floor Version
}

func (s *scripted) set(change func(*scripted)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	s.version++
}

var errDown = errors.New("store is down")

func (s *scripted) Servers(context.Context) ([]lavserver.Server, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, errDown
	}
	return s.servers, nil
}

func (s *scripted) Operations(context.Context) (Operations, Version, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return Operations{}, 0, errDown
	}
	return s.operations, s.version, nil
}

func (s *scripted) Changed(ctx context.Context, after Version, _ time.Duration) (bool, Version, error) {
	for ctx.Err() == nil {
		s.mu.Lock()
		down, version, gone := s.down, s.version, after < s.floor
		s.mu.Unlock()
		if down || gone {
			return false, 0, errDown
		}
		if version != after {
			return true, version, nil
		}
		time.Sleep(time.Millisecond)
	}
	return false, after, ctx.Err()
}

func watch(t *testing.T, source *scripted) *Watcher {
	t.Helper()
	watcher := &Watcher{
		Settings:  Settings{ListInterval: 5 * time.Millisecond, CallTimeout: 50 * time.Millisecond, ChangeWait: 100 * time.Millisecond, RetryPause: 5 * time.Millisecond},
		Source:    source,
		Current:   &Current{},
		Directory: lavdirectory.New(lavdirectory.Settings{ReturnGrace: 50 * time.Millisecond, OutageGap: time.Second}),
		Ordered:   func([]lavcutover.Order, time.Time) {},
		Log:       quiet(),
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

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 400 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("not seen: " + what)
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	var current Current
	is.True(current.Take(table(4)))
	is.True(!current.Take(table(3)))
	is.True(!current.Take(table(4)))
	is.True(!current.Take(nil))
	is.Equal(current.Table().Number, lavid.ConfigNumber(4))
}

func TestChangesComeIntoForceAlsoAfterAnOutage(t *testing.T) {
	is := is.New(t)
	source := &scripted{version: 1}
	watcher := watch(t, source)
	is.True(watcher.Current.Table() == nil)
	source.set(func(s *scripted) { s.operations.Table = table(2) })
	eventually(t, "the first configuration", func() bool { return watcher.Current.Table() != nil })
	source.set(func(s *scripted) { s.down = true })
	eventually(t, "the outage", func() bool { return watcher.Current.Age(time.Now()) > 30*time.Millisecond })
	source.set(func(s *scripted) { s.down, s.operations.Table = false, table(9) })
	eventually(t, "the change made meanwhile", func() bool { return watcher.Current.Table().Number == 9 })
}

func TestChangesOfALostHistoryComeIntoForce(t *testing.T) {
	source := &scripted{version: 1, operations: Operations{Table: table(2)}}
	watcher := watch(t, source)
	eventually(t, "the first configuration", func() bool { return watcher.Current.Table() != nil })
	source.set(func(s *scripted) { s.operations.Table, s.floor = table(9), s.version+1 })
	eventually(t, "the change", func() bool { return watcher.Current.Table().Number == 9 })
}

func TestServersOfAnOutageAreKept(t *testing.T) {
	source := &scripted{servers: []lavserver.Server{{ID: "a", Service: "pool", DataCentre: "centre-a"}}}
	watcher := watch(t, source)
	usable := func() int { return len(watcher.Directory.Usable("pool", time.Now())) }
	eventually(t, "the server", func() bool { return usable() == 1 })
	source.set(func(s *scripted) { s.down = true })
	time.Sleep(30 * time.Millisecond)
	is.New(t).Equal(usable(), 1)
	source.set(func(s *scripted) { s.down, s.servers = false, nil })
	eventually(t, "the end of the grace", func() bool { return usable() == 0 })
}

func TestEvacuationIsTakenOver(t *testing.T) {
	source := &scripted{servers: []lavserver.Server{{ID: "a", Service: "pool", DataCentre: "centre-a"}}}
	watcher := watch(t, source)
	eventually(t, "the server", func() bool { return len(watcher.Directory.Usable("pool", time.Now())) == 1 })
	source.set(func(s *scripted) { s.operations.Evacuated = []lavid.DataCentreID{"centre-a"} })
	eventually(t, "the evacuation", func() bool { return len(watcher.Directory.Usable("pool", time.Now())) == 0 })
}

// cutoverRows is a store of cutovers that loses some replies.
type cutoverRows struct {
	mu      sync.Mutex
	rows    []CutoverRow
	version float64
	lose    bool
}

func (c *cutoverRows) Cutovers(context.Context) ([]CutoverRow, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]CutoverRow(nil), c.rows...), nil
}

func (c *cutoverRows) WriteCutover(_ context.Context, change lavcutover.Change) (float64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rows) > 0 && c.rows[0].Version != change.Version {
		return 0, errors.New("conflict")
	}
	c.version++
	c.rows = []CutoverRow{{Progress: change.Progress, Version: c.version}}
	if c.lose {
		return 0, errors.New("reply lost")
	}
	return c.version, nil
}

func TestLostReplyOfACutoverIsSettledByReading(t *testing.T) {
	is := is.New(t)
	store := &cutoverRows{lose: true}
	cutovers := lavcutover.New(lavcutover.Settings{TrialShare: 0.1, Test: lavrollout.DefaultSettings(), StopEvidence: 100})
	conductor := &Conductor{
		Cutovers:    cutovers,
		Store:       store,
		Place:       func(lavid.ServiceID) int { return 0 },
		Busy:        func(lavid.ServiceID, lavid.ReleaseID) bool { return false },
		CallTimeout: time.Second,
		Log:         quiet(),
		Clock:       time.Now,
	}
	ctx, cancel := context.WithCancel(context.Background())
	go conductor.Run(ctx)
	cutovers.SetOrders([]lavcutover.Order{{Service: "pool", To: "v2", Duration: time.Minute}}, time.Now())
	eventually(t, "the cutover", func() bool {
		rows := cutovers.Statuses()
		return len(rows) == 1 && rows[0].Progress.State == lavcutover.Running
	})
	cancel()
	<-conductor.Done()
	is.Equal(store.version, 1.0) // written once
}
