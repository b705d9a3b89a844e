package lavforward

import (
	"github.com/sirupsen/logrus"
)

// recordNotices records what the head of an answer states about new work at the server. The server of a refusal as another
// one is not the chosen one, but the one that is at its address now.
func (s *send) recordNotices(reply *Reply) {
	now := s.Clock()
	switch {
	case !reply.Leaving:
	case reply.OtherServer:
		s.Directory.LeaveAddress(s.chosen.Server, now)
	case s.Directory.Leave(s.chosen.Server, now):
		s.Metrics.countNotice(s.chosen, noticeLeaving)
		s.logDecision("server leaves", s.chosen.ID, logrus.Fields{"status": reply.Status})
	}
	s.recordLimit(reply)
	if reply.BadPause != "" {
		s.logDecision("server asked for a pause that is not a positive number", s.chosen.ID, logrus.Fields{"value": reply.BadPause})
	}
	if reply.Pause > 0 {
		s.Directory.Pause(s.chosen.Server, reply.Pause, now)
		s.Metrics.countNotice(s.chosen, noticePause)
		s.logDecision("server asked for a pause", s.chosen.ID, logrus.Fields{"pause_ms": reply.Pause.Milliseconds()})
	}
}

// recordLimit records the limit that an answer states, or that it states none. The server of a refusal as another one is not
// the chosen one. A limit that cannot be read changes nothing.
func (s *send) recordLimit(reply *Reply) {
	switch {
	case reply.OtherServer:
	case reply.BadLimit != "":
		s.logDecision("server stated a limit that is no rate", s.chosen.ID, logrus.Fields{"value": reply.BadLimit})
	case !s.Directory.Limit(s.chosen.Server, reply.Limit, s.Clock()):
	case reply.Limit.Stated:
		s.Metrics.countNotice(s.chosen, noticeLimit)
		s.logDecision("server stated a limit", s.chosen.ID, logrus.Fields{"requests_per_second": float64(reply.Limit.Rate)})
	default:
		s.logDecision("server states no limit any more", s.chosen.ID, nil)
	}
}
