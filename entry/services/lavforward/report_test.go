package lavforward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"lavenderswitch/core/models/lavroute"
	"lavenderswitch/core/modules/lavlog"
)

// said serves a request and returns the messages of the lines that it leaves.
func said(w *world, request *Request) ([]string, *test.Hook) {
	log, hook := test.NewNullLogger()
	log.SetLevel(logrus.InfoLevel)
	w.Log = log
	w.Serve(context.Background(), request, &recorded{})
	var messages []string
	for _, entry := range hook.AllEntries() {
		messages = append(messages, entry.Message)
	}
	return messages, hook
}

func TestRequestThatIsServedInTimeLeavesOneLine(t *testing.T) {
	is := is.New(t)
	messages, _ := said(newWorld(2, answers(http.StatusOK, "fine")), request(lavroute.Idempotent))
	is.Equal(messages, []string{"answered"})
}

func TestRequestThatFailsLeavesItsWholeStory(t *testing.T) {
	is := is.New(t)
	asked := request(lavroute.OnceOnly)
	messages, hook := said(newWorld(2, loses(true)), asked)
	is.Equal(messages, []string{"send failed", "sent", "refused"})
	for _, entry := range hook.AllEntries() {
		is.Equal(entry.Data[lavlog.FieldRequest], asked.ID)
	}
	is.Equal(hook.AllEntries()[1].Data[lavlog.FieldServer], hook.AllEntries()[0].Data[lavlog.FieldServer])
}

func TestLateAndRepeatedRequestsLeaveTheirStory(t *testing.T) {
	is := is.New(t)
	late := request(lavroute.Idempotent)
	late.Route.LatencyTarget = time.Nanosecond
	messages, _ := said(newWorld(2, answers(http.StatusOK, "fine")), late)
	is.Equal(messages, []string{"sent", "answered"})
	messages, _ = said(newWorld(2, loses(true), answers(http.StatusOK, "fine")), request(lavroute.Idempotent))
	is.Equal(messages, []string{"send failed", "sent", "sent", "answered"})
}

func TestLineOfAStreamTellsItsEventsAndItsLongestPause(t *testing.T) {
	is := is.New(t)
	_, hook := said(newWorld(2, answers(http.StatusOK, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")), request(lavroute.Streaming))
	fields := hook.LastEntry().Data
	is.Equal(fields["events"], 2)
	_, told := fields["longest_pause_ms"].(int64)
	is.True(told)
}
