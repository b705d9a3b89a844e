package lavtableservice

import (
	"encoding/json"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/matryer/is"

	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/modules/lavsettings"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
)

func startService(t *testing.T) (*Service, *lavfault.Injector, *lavplatform.Client) {
	t.Helper()
	faults := lavfault.New()
	service := New(faults)
	router := httprouter.New()
	service.Register(router)
	server := httptest.NewServer(router)
	t.Cleanup(server.Close)
	return service, faults, lavplatform.NewClient(server.URL)
}

func newInsert(writer string) lavplatform.Insert {
	return lavplatform.Insert{Table: "Ledger", Key: "a/1", Writer: writer, Value: json.RawMessage(`{}`)}
}

// TestClientRepeatsInsertAfterLostReply checks that a write whose reply is lost takes effect once and is won by its
// writer.
func TestClientRepeatsInsertAfterLostReply(t *testing.T) {
	is := is.New(t)
	service, faults, client := startService(t)
	faults.Apply(lavfault.Command{Add: []lavfault.Fault{{Kind: lavfault.ReplyLost, Step: lavtruth.StepInsert, Count: 1}}})
	written, err := client.Insert(t.Context(), newInsert("w1"))
	is.NoErr(err)
	is.True(written.Won) // the client repeats the write over a new connection
	is.Equal(len(service.Truth().Writes), 1)
}

// TestLateWriteTakesEffectAfterDelay checks that a late write is not visible at first and takes effect after the delay.
func TestLateWriteTakesEffectAfterDelay(t *testing.T) {
	is := is.New(t)
	service, faults, client := startService(t)
	late := lavsettings.Duration{Duration: 100 * time.Millisecond}
	faults.Apply(lavfault.Command{Add: []lavfault.Fault{{Kind: lavfault.LateWrite, Step: lavtruth.StepInsert, Delay: late, Count: 2}}})
	_, err := client.Insert(t.Context(), newInsert("w1"))
	is.True(lavplatform.IsErrStoreUnavailable(err))
	is.Equal(len(service.Truth().Rows), 0)
	time.Sleep(2 * late.Duration)
	is.Equal(len(service.Truth().Rows), 1)
	written, err := client.Insert(t.Context(), newInsert("w2"))
	is.NoErr(err)
	is.True(!written.Won) // the late write has taken effect, so the second writer loses
}

// TestHeldCallIsListedAndCompletesWhenReleased checks that a held call is reported with its key and completes after its
// release.
func TestHeldCallIsListedAndCompletesWhenReleased(t *testing.T) {
	is := is.New(t)
	_, faults, client := startService(t)
	faults.Apply(lavfault.Command{Add: []lavfault.Fault{{Kind: lavfault.HoldReply, Table: "Ledger", Count: 2}}})
	done := make(chan error, 1)
	go func() {
		_, err := client.Insert(t.Context(), newInsert("w1"))
		done <- err
	}()
	for len(faults.HeldCalls()) == 0 {
		time.Sleep(time.Millisecond)
	}
	is.Equal(faults.HeldCalls()[0].Key, "a/1")
	faults.Apply(lavfault.Command{Clear: true})
	is.NoErr(<-done)
}
