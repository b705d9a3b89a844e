package lavforward

import (
	"github.com/sirupsen/logrus"
)

// recordNotices records what the head of an answer states about new work at the server. The server of a refusal as another
// one is not the chosen one, but the one that is at its address now.
func (e *execution) recordNotices(chosen choice, reply *Reply) {
	now := e.Clock()
	switch {
	case !reply.Leaving:
	case reply.OtherServer:
		e.Directory.LeaveAddress(chosen.Server, now)
	case e.Directory.Leave(chosen.Server, now):
		e.Metrics.countNotice(chosen, noticeLeaving)
		e.logDecision("server leaves", chosen.ID, logrus.Fields{"status": reply.Status})
	}
	e.recordLimit(chosen, reply)
	if reply.BadPause != "" {
		e.logDecision("server asked for a pause that is not a positive number", chosen.ID, logrus.Fields{"value": reply.BadPause})
	}
	if reply.Pause > 0 {
		e.Directory.Pause(chosen.Server, reply.Pause, now)
		e.Metrics.countNotice(chosen, noticePause)
		e.logDecision("server asked for a pause", chosen.ID, logrus.Fields{"pause_ms": reply.Pause.Milliseconds()})
	}
}

// recordLimit records the limit that an answer states, or that it states none. The server of a refusal as another one is not
// the chosen one. A limit that cannot be read changes nothing.
func (e *execution) recordLimit(chosen choice, reply *Reply) {
	switch {
	case reply.OtherServer:
	case reply.BadLimit != "":
		e.logDecision("server stated a limit that is no rate", chosen.ID, logrus.Fields{"value": reply.BadLimit})
	case !e.Directory.Limit(chosen.Server, reply.Limit, e.Clock()):
	case reply.Limit.Stated:
		e.Metrics.countNotice(chosen, noticeLimit)
		e.logDecision("server stated a limit", chosen.ID, logrus.Fields{"requests_per_second": float64(reply.Limit.Rate)})
	default:
		e.logDecision("server states no limit any more", chosen.ID, nil)
	}
}
