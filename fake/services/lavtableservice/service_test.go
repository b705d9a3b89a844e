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

// TestClientRepeatsInsertAfterLostReply guards against a write that takes effect twice, or counts as lost to another
// writer, because its reply was lost and the client repeated it.
func TestClientRepeatsInsertAfterLostReply(t *testing.T) {
	is := is.New(t)
	service, faults, client := startService(t)
	faults.Apply(lavfault.Command{Add: []lavfault.Fault{{Kind: lavfault.ReplyLost, Step: lavtruth.StepInsert, Count: 1}}})
	written, err := client.Insert(t.Context(), newInsert("w1"))
	is.NoErr(err)
	is.True(written.Won) // the client repeats the write over a new connection
	is.Equal(len(service.Truth().Writes), 1)
}

// TestLateWriteTakesEffectAfterDelay guards against a late write that takes effect at once or never, with which tests of
// late writes would check nothing.
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

// TestHeldCallIsListedAndCompletesWhenReleased guards against a held call that tests cannot find by its key, or that never
// ends after its release.
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
