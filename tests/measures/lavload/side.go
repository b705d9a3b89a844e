package lavload

import (
	"fmt"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavlimit"
)

// permit ends or advances an admitted request at the limit.
type permit interface {
	RecordTokens(count int, now time.Time)
	Done(outcome lavlimit.Outcome, now time.Time)
}

// countPermit is the permit of a limit that learns nothing.
type countPermit struct{ server *server }

// RecordTokens changes nothing.
func (countPermit) RecordTokens(int, time.Time) {}

// Done ends the permit.
func (p countPermit) Done(lavlimit.Outcome, time.Time) { p.server.plain-- }

// server is a side process with its engine.
type server struct {
	id         lavid.BackendServerID
	dataCentre lavid.DataCentreID
	engine     *engine
	kind       limitKind
	limiter    *lavlimit.Limiter
	started    time.Time
	plain      int
	out        bool
	lastTick   time.Time
	// lastBefore is when the server last got work between a leave and a return, counted from the leave.
	lastBefore time.Duration
	// bySecond counts tokens by the second of the run.
	bySecond map[int]int
}

const rampSeconds = 30.0

func newServer(index, dataCentres int, speed float64, kind limitKind, now time.Time) *server {
	return &server{
		id:         lavid.BackendServerID(fmt.Sprintf("server-%02d", index)),
		dataCentre: centre(index % dataCentres),
		engine:     &engine{speed: speed, warmth: 1},
		kind:       kind,
		limiter:    lavlimit.New(lavlimit.EngineSettings(maxBatch), now),
		started:    now.Add(-time.Hour),
		lastTick:   now,
		bySecond:   make(map[int]int),
	}
}

func centre(index int) lavid.DataCentreID {
	return lavid.DataCentreID(fmt.Sprintf("dc-%d", index))
}

func (s *server) limit(now time.Time) int {
	switch s.kind {
	case limitAdaptive:
		return s.limiter.Limit()
	case limitBears:
		return s.engine.safe()
	case limitRamp:
		age := now.Sub(s.started).Seconds()
		return max(1, int(maxBatch*min(1, age/rampSeconds)))
	default:
		return maxBatch
	}
}

// admit takes a request or refuses it; lost are requests that the engine dropped by falling over.
func (s *server) admit(r *request, now time.Time) (admitted bool, lost []*request) {
	if s.out || s.engine.down(now) {
		return false, nil
	}
	if s.kind == limitAdaptive {
		admit := s.limiter.Admit
		if r.reserved() {
			admit = s.limiter.AdmitReserved
		}
		permit, ok := admit(lavid.Tokens(int(r.prompt)+r.output), now)
		if !ok {
			return false, nil
		}
		r.permit = permit
	} else {
		if s.plain >= s.limit(now) {
			return false, nil
		}
		s.plain++
		r.permit = countPermit{s}
	}
	if now.Sub(epoch) > leaveAt && now.Sub(epoch) < returnAt {
		s.lastBefore = now.Sub(epoch) - leaveAt
	}
	return true, s.engine.take(r, now)
}

func (s *server) tick(now time.Time) {
	if now.Sub(s.lastTick) >= lavlimit.TickInterval {
		s.lastTick = now
		s.limiter.Tick(now)
	}
}
