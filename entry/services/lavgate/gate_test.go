package lavgate

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"lavenderswitch/core/models/lavconfig"
	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/entry/models/lavrequest"
	"lavenderswitch/entry/services/lavfleet"
)

// fakeRooms is a pool whose room the test sets.
type fakeRooms struct{ pool lavfleet.Pool }

func (f *fakeRooms) Pool(*lavconfig.Document, lavfleet.Requirements, time.Time) lavfleet.Pool {
	return f.pool
}

func (f *fakeRooms) Document() *lavconfig.Document {
	return &lavconfig.Document{ClientAccounts: map[lavid.AccountID]lavconfig.ClientAccount{"a": {MaxConcurrent: 1}}}
}

func request(deadline time.Duration) *lavrequest.Request {
	return &lavrequest.Request{Account: "a", EstimatedTokens: 10, Deadline: time.Now().Add(deadline)}
}

func TestEnterRefusesAtOnceWhenNoServerIsInService(t *testing.T) {
	is := is.New(t)
	rooms := &fakeRooms{}
	_, err := New(rooms, rooms).Enter(t.Context(), request(time.Minute), lavrequest.Pool{}, false)
	is.True(laverror.Is(err, laverror.KindNoServer))
	is.True(laverror.As(err).RetryAfter > 0)
}

func TestEnterWaitsUntilThePoolHasRoom(t *testing.T) {
	is := is.New(t)
	rooms := &fakeRooms{pool: lavfleet.Pool{Servers: 1}}
	gate := New(rooms, rooms)
	place, err := gate.push(request(time.Minute), lavrequest.Pool{}, false, time.Now())
	is.NoErr(err)
	gate.Pump(time.Now())
	select {
	case <-place.turn:
		t.Fatal("admitted without room")
	default:
	}
	rooms.pool.FreeSlots = 1
	gate.Pump(time.Now())
	<-place.turn
	is.NoErr(place.err)
}

func TestEnterWaitsAfterServersWereFullEvenIfReportsShowRoom(t *testing.T) {
	is := is.New(t)
	rooms := &fakeRooms{pool: lavfleet.Pool{Servers: 1, FreeSlots: 5}}
	gate := New(rooms, rooms)
	place, err := gate.push(request(time.Minute), lavrequest.Pool{}, true, time.Now())
	is.NoErr(err)
	is.True(place != nil)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = gate.Enter(ctx, request(time.Minute), lavrequest.Pool{}, true)
	is.True(laverror.Is(err, laverror.KindTimeout))
}

func TestWaitingRequestIsRefusedWhenItsTimeIsOver(t *testing.T) {
	is := is.New(t)
	rooms := &fakeRooms{pool: lavfleet.Pool{Servers: 1}}
	gate := New(rooms, rooms)
	place, err := gate.push(request(time.Second), lavrequest.Pool{}, false, time.Now())
	is.NoErr(err)
	gate.Pump(time.Now().Add(2 * time.Second))
	<-place.turn
	is.True(laverror.Is(place.err, laverror.KindOverloaded))
}

func TestBeginBoundsTheRequestsOfAnAccount(t *testing.T) {
	is := is.New(t)
	rooms := &fakeRooms{}
	gate := New(rooms, rooms)
	end, err := gate.Begin(request(time.Minute))
	is.NoErr(err)
	_, err = gate.Begin(request(time.Minute))
	is.True(laverror.Is(err, laverror.KindTooManyRequests))
	end()
	_, err = gate.Begin(request(time.Minute))
	is.NoErr(err)
}

func TestReservedRoomIsLeftToAccountsWithinTheirPart(t *testing.T) {
	is := is.New(t)
	rooms := &fakeRooms{pool: lavfleet.Pool{Servers: 1, FreeSlotsWithReserve: 1}}
	gate := New(rooms, rooms)
	place, err := gate.push(request(time.Minute), lavrequest.Pool{}, false, time.Now())
	is.NoErr(err)
	is.True(place.ticket.Reserved())
	gate.Pump(time.Now())
	<-place.turn
	is.NoErr(place.err)
}

func TestQueueTimeIsBounded(t *testing.T) {
	is := is.New(t)
	gate := New(nil, nil)
	gate.MaxWait = time.Second
	now := time.Now()
	is.Equal(gate.deadline(&lavrequest.Request{Arrived: now, Deadline: now.Add(time.Minute)}), now.Add(time.Second))
	is.Equal(gate.deadline(&lavrequest.Request{Arrived: now, Deadline: now.Add(time.Millisecond)}), now.Add(time.Millisecond))
	patient := &lavrequest.Request{Arrived: now, Deadline: now.Add(time.Minute), Patient: true}
	is.Equal(gate.deadline(patient), now.Add(time.Minute))
}
