package lavload

import (
	"fmt"
	"time"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/services/lavlimit"
)

// permit is an admitted request's claim on the limit of a server.
type permit interface {
	RecordTokens(count int, now time.Time)
	Done(outcome lavlimit.Outcome, now time.Time)
}

// countPermit is the permit of the non-adaptive limits, which only count running requests.
type countPermit struct{ server *server }

// RecordTokens does nothing, because a fixed limit does not depend on throughput.
func (countPermit) RecordTokens(int, time.Time) {}

// Done returns the permit.
func (p countPermit) Done(lavlimit.Outcome, time.Time) { p.server.running-- }

// server simulates a side process with its engine.
type server struct {
	id           lavid.BackendServerID
	dataCentre   lavid.DataCentreID
	engine       *engine
	kind         limitKind
	limiter      *lavlimit.Limiter
	startedAt    time.Time
	running      int
	outOfService bool
	lastTick     time.Time
	// lastWorkSinceLeave is when the server last received work between leaveAt and returnAt, counted from leaveAt.
	lastWorkSinceLeave time.Duration
	// bySecond counts tokens by the second of the run.
	bySecond map[int]int
}

// rampSeconds is the time in which the fixed ramp raises its limit to the maximum.
const rampSeconds = 30.0

func newServer(index, dataCentres int, speed float64, kind limitKind, now time.Time) *server {
	return &server{
		id:         lavid.BackendServerID(fmt.Sprintf("server-%02d", index)),
		dataCentre: dataCentreID(index % dataCentres),
		engine:     &engine{speed: speed, warmth: 1},
		kind:       kind,
		limiter:    lavlimit.New(lavlimit.EngineSettings(maxBatch), now),
		startedAt:  now.Add(-time.Hour),
		lastTick:   now,
		bySecond:   make(map[int]int),
	}
}

func dataCentreID(index int) lavid.DataCentreID {
	return lavid.DataCentreID(fmt.Sprintf("dc-%d", index))
}

// limit returns the number of requests that the server may run at once.
func (s *server) limit(now time.Time) int {
	switch s.kind {
	case limitAdaptive:
		return s.limiter.Limit()
	case limitKnown:
		return s.engine.safeLimit()
	case limitRamp:
		age := now.Sub(s.startedAt).Seconds()
		return max(1, int(maxBatch*min(1, age/rampSeconds)))
	default:
		return maxBatch
	}
}

// admit admits or refuses a request. lost holds the requests that the engine lost by crashing.
func (s *server) admit(r *request, now time.Time) (admitted bool, lost []*request) {
	if s.outOfService || s.engine.down(now) {
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
		if s.running >= s.limit(now) {
			return false, nil
		}
		s.running++
		r.permit = countPermit{s}
	}
	if now.Sub(epoch) > leaveAt && now.Sub(epoch) < returnAt {
		s.lastWorkSinceLeave = now.Sub(epoch) - leaveAt
	}
	return true, s.engine.admit(r, now)
}

func (s *server) tick(now time.Time) {
	if now.Sub(s.lastTick) >= lavlimit.TickInterval {
		s.lastTick = now
		s.limiter.Tick(now)
	}
}
