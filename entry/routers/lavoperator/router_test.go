package lavoperator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"lavenderswitch/core/models/lavid"
	"lavenderswitch/core/modules/lavdump"
	"lavenderswitch/core/modules/lavkey"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/core/services/lavmembership"
	"lavenderswitch/core/services/lavspread"
	"lavenderswitch/entry/services/lavoperation"
)

// fakeTable is a table service in memory that can lose the replies to inserts.
type fakeTable struct {
	rows        map[string]lavplatform.Row
	loseReplies bool
}

func (f *fakeTable) Get(_ context.Context, table, key string) (lavplatform.Row, error) {
	row, ok := f.rows[key]
	if !ok {
		return row, lavplatform.ErrRowNotExist{Table: table, Key: key}
	}
	return row, nil
}

func (f *fakeTable) Insert(_ context.Context, insert lavplatform.Insert) (lavplatform.WriteResult, error) {
	row, ok := f.rows[insert.Key]
	if !ok {
		row = lavplatform.Row{Key: insert.Key, Writer: insert.Writer, Value: insert.Value}
		f.rows[insert.Key] = row
	}
	if f.loseReplies {
		return lavplatform.WriteResult{}, lavplatform.ErrStoreUnavailable{Reason: "reply lost"}
	}
	return lavplatform.WriteResult{Won: row.Writer == insert.Writer, Row: row}, nil
}

func (f *fakeTable) Scan(_ context.Context, _, after string, limit int) ([]lavplatform.Row, error) {
	var found []lavplatform.Row
	for number := 9; number >= 0; number-- {
		key := lavspread.Key(lavid.ConfigNumber(number))
		if row, ok := f.rows[key]; ok && key > after && len(found) < limit {
			found = append(found, row)
		}
	}
	return found, nil
}

type fakeCalls struct{ settled lavoperation.Settlement }

func (f *fakeCalls) ListInDoubt(context.Context, string, int) (lavoperation.CallPage, error) {
	return lavoperation.CallPage{Calls: []lavoperation.CallInDoubt{{Account: "donativa", Request: "r", Attempt: "a"}}}, nil
}

func (f *fakeCalls) Settle(_ context.Context, settlement lavoperation.Settlement, _ time.Time) (lavoperation.Settled, error) {
	f.settled = settlement
	return lavoperation.Settled{State: "Finished", SettledBy: settlement.Operator}, nil
}

type testServer struct {
	*httptest.Server
	t     *testing.T
	rows  *fakeTable
	calls *fakeCalls
}

func newTestServer(t *testing.T) *testServer {
	s := &testServer{t: t, rows: &fakeTable{rows: make(map[string]lavplatform.Row)}, calls: &fakeCalls{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	members := lavmembership.New(lavmembership.Member{ID: "entry-1", DataCentre: "dc-1"})
	current := lavspread.NewCurrent()
	spreader := lavspread.New(lavspread.Options{Rows: s.rows, Peers: members, Current: current, Client: http.DefaultClient, Log: log})
	service := &lavoperation.Service{Configs: current, Submitter: spreader, Rows: s.rows, Hosts: members, Calls: s.calls}
	router := &Router{Service: service, Keys: []Key{{"ana", lavkey.Hash("secret")}, {"rui", lavkey.Hash("other")}}, Dump: lavdump.NewRegistry()}
	s.Server = httptest.NewServer(router.Routes())
	t.Cleanup(s.Close)
	return s
}

// send returns the status and the body of the reply.
func (s *testServer) send(method, path, match, patch, body string) (int, string) {
	request, err := http.NewRequestWithContext(s.t.Context(), method, s.URL+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer secret")
	request.Header.Set("If-Match", match)
	request.Header.Set(HeaderPatch, patch)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		s.t.Fatal(err)
	}
	defer response.Body.Close()
	data, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(data)
}

const addDataCentres = `[{"op":"add","path":"/DataCentres/dc-1","value":{"State":"InService"}}]`

// TestPatchIsAcceptedRecordedAndShown guards against a patch that is accepted but missing in the history, the diff or
// the status, and against a dry run that writes.
func TestPatchIsAcceptedRecordedAndShown(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	status, body := s.send(http.MethodPatch, "/config?DryRun=true", "0", "p1", addDataCentres)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, `"Path":"/DataCentres/dc-1"`))
	is.Equal(len(s.rows.rows), 0) // a dry run writes nothing
	status, body = s.send(http.MethodPatch, "/config", "0", "p1", addDataCentres)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, `"Number":1`))
	status, body = s.send(http.MethodGet, "/config/history", "", "", "")
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, `"Author":"ana"`)) // the name of the operator's key
	for path, part := range map[string]string{
		"/config": `"Number":1`, "/config/1": `"dc-1"`, "/config/diff?From=0&To=1": `"/DataCentres/dc-1"`,
		"/patches/p1?Base=0": `"Accepted"`, "/patches/p2?Base=0": `"Refused"`, "/patches/p2?Base=1": `"Open"`,
		"/fleet": `"entry-1"`, "/rollouts": `"Versions"`, "/calls/in-doubt": `"donativa"`, "/dump": `{`, "/debug/vars": `memstats`,
	} {
		status, body := s.send(http.MethodGet, path, "", "", "")
		if status != http.StatusOK || !strings.Contains(body, part) {
			t.Errorf("%s: %d %s", path, status, body)
		}
	}
}

// TestConflictListsThePatchesSinceTheBase guards against a conflict that does not show the operator which patches came
// first.
func TestConflictListsThePatchesSinceTheBase(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	s.send(http.MethodPatch, "/config", "0", "p1", addDataCentres)
	status, body := s.send(http.MethodPatch, "/config", "0", "p2", addDataCentres)
	is.Equal(status, http.StatusConflict)
	var reply ErrorReply
	is.NoErr(json.Unmarshal([]byte(body), &reply))
	is.Equal(reply.Current, lavid.ConfigNumber(1))
	is.Equal(len(reply.Since), 1)
	is.Equal(string(reply.Since[0].Patch), "p1")
}

// TestPatchWithALostReplyIsInDoubtUntilItIsRepeated guards against an error that reads as a refusal when the store may
// have accepted the patch. Repeating the patch under its id gives the outcome; other operations under that id are
// refused.
func TestPatchWithALostReplyIsInDoubtUntilItIsRepeated(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	s.rows.loseReplies = true
	status, body := s.send(http.MethodPatch, "/config", "0", "p1", addDataCentres)
	is.Equal(status, http.StatusConflict)
	is.True(strings.Contains(body, `"in_doubt"`))
	is.True(strings.Contains(body, "p1"))
	s.rows.loseReplies = false
	status, body = s.send(http.MethodPatch, "/config", "0", "p1", addDataCentres)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, `"Number":1`))
	status, _ = s.send(http.MethodPatch, "/config", "0", "p1", `[]`)
	is.Equal(status, http.StatusUnprocessableEntity) // the patch id was used with other operations
}

// TestErrorOfAnInvalidRequestNamesTheFault guards against an error that does not name the faulty header, parameter or
// key.
func TestErrorOfAnInvalidRequestNamesTheFault(t *testing.T) {
	s := newTestServer(t)
	for _, test := range []struct {
		method, path, match, body string
		status                    int
		part                      string
	}{
		{http.MethodPatch, "/config", "", "[]", http.StatusBadRequest, "If-Match"},
		{http.MethodPatch, "/config", "0", "{", http.StatusBadRequest, "JSON"},
		{http.MethodPatch, "/config", "0", strings.Repeat(" ", maxPatchBytes+1), http.StatusRequestEntityTooLarge, "too large"},
		{http.MethodPatch, "/config", "0", `[{"op":"add","path":"/Versions/x","value":{"Modl":"m"}}]`, http.StatusUnprocessableEntity, `"Path":"/Versions/x/Modl"`},
		{http.MethodPatch, "/config", "5", addDataCentres, http.StatusConflict, "newest is 0"},
		{http.MethodGet, "/config/x", "", "", http.StatusBadRequest, "number"},
		{http.MethodGet, "/config/7", "", "", http.StatusNotFound, "history"},
		{http.MethodGet, "/patches/p", "", "", http.StatusBadRequest, "Base"},
		{http.MethodPost, "/calls/settle", "", `{"Account":"a","Rann":true}`, http.StatusBadRequest, "Rann"},
		{http.MethodPost, "/calls/settle", "", `{}`, http.StatusBadRequest, "Attempt"},
		{http.MethodGet, "/nothing", "", "", http.StatusNotFound, "docs"},
	} {
		status, body := s.send(test.method, test.path, test.match, "", test.body)
		if status != test.status || !strings.Contains(body, test.part) {
			t.Errorf("%s %s: %d %.200s", test.method, test.path, status, body)
		}
	}
}

// TestSettlementRecordsTheOperatorsName guards against settlements without a responsible operator, and against
// requests without a key.
func TestSettlementRecordsTheOperatorsName(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t)
	status, _ := s.send(http.MethodPost, "/calls/settle", "", "", `{"Account":"donativa","Request":"r","Attempt":"a","Ran":true}`)
	is.Equal(status, http.StatusOK)
	is.Equal(s.calls.settled.Operator, "ana")
	response, err := http.Get(s.URL + "/config")
	is.NoErr(err)
	defer response.Body.Close()
	is.Equal(response.StatusCode, http.StatusUnauthorized)
}
