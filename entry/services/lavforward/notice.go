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
	if reply.BadPause != "" {
		e.logDecision("server asked for a pause that is not a positive number", chosen.ID, logrus.Fields{"value": reply.BadPause})
	}
	if reply.Pause > 0 {
		e.Directory.Pause(chosen.Server, reply.Pause, now)
		e.Metrics.countNotice(chosen, noticePause)
		e.logDecision("server asked for a pause", chosen.ID, logrus.Fields{"pause_ms": reply.Pause.Milliseconds()})
	}
}
