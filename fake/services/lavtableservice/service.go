package lavtableservice

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavplatform"
	"lavenderswitch/fake/models/lavtruth"
	"lavenderswitch/fake/services/lavfault"
)

// Service holds tables in memory.
type Service struct {
	faults *lavfault.Injector
	mu     sync.Mutex
	// tables holds the rows by table and key.
	tables map[string]map[string]lavplatform.Row
	writes []lavtruth.Write
	calls  int
}

// New returns a service without rows. The faults of the injector apply to its calls.
func New(faults *lavfault.Injector) *Service {
	return &Service{faults: faults, tables: make(map[string]map[string]lavplatform.Row)}
}

type insertRequest struct{ Inserts []lavplatform.Insert }

type insertReply struct{ Written []lavplatform.WriteResult }

type scanReply struct{ Rows []lavplatform.Row }

// Register adds the paths of the table service to a router.
func (s *Service) Register(router *httprouter.Router) {
	router.HandlerFunc(http.MethodPost, "/tables/insert", s.insert)
	router.HandlerFunc(http.MethodPost, "/tables/swap", s.swap)
	router.GET("/tables/:table/rows/:key", s.get)
	router.GET("/tables/:table/rows", s.scan)
}

// Truth returns all rows, the history of writes and the number of calls.
func (s *Service) Truth() lavtruth.Platform {
	s.mu.Lock()
	defer s.mu.Unlock()
	truth := lavtruth.Platform{Writes: slices.Clone(s.writes), Calls: s.calls}
	for _, table := range s.tables {
		for _, row := range table {
			truth.Rows = append(truth.Rows, row)
		}
	}
	slices.SortFunc(truth.Rows, func(a, b lavplatform.Row) int {
		return strings.Compare(a.Table+"\x00"+a.Key, b.Table+"\x00"+b.Key)
	})
	return truth
}

func (s *Service) insert(w http.ResponseWriter, request *http.Request) {
	var body insertRequest
	if !readJSON(w, request, &body) {
		return
	}
	reply := insertReply{}
	call := insertCall(body.Inserts)
	done := s.faults.Do(request.Context(), call, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls++
		for _, insert := range body.Inserts {
			reply.Written = append(reply.Written, s.insertRow(insert))
		}
	})
	if !done {
		lavfault.WriteRefusal(w)
		return
	}
	lavhttp.WriteJSON(w, http.StatusOK, reply)
}

// insertCall describes a batch by its first row and the tables of all its rows.
func insertCall(inserts []lavplatform.Insert) lavfault.Call {
	call := lavfault.Call{HeldCall: lavtruth.HeldCall{Step: lavtruth.StepInsert}}
	if len(inserts) > 0 {
		call.Table = inserts[0].Table
		call.Key = inserts[0].Key
		call.Value = inserts[0].Value
	}
	for _, insert := range inserts {
		call.Tables = append(call.Tables, insert.Table)
	}
	return call
}

// insertRow adds a row unless its key exists. A repeat by the writer of the existing row has won.
func (s *Service) insertRow(insert lavplatform.Insert) lavplatform.WriteResult {
	table := s.table(insert.Table)
	if row, ok := table[insert.Key]; ok {
		return lavplatform.WriteResult{Won: row.Writer == insert.Writer, Row: row}
	}
	row := lavplatform.Row{Table: insert.Table, Key: insert.Key, Revision: 1, Writer: insert.Writer, Value: insert.Value}
	table[insert.Key] = row
	s.record(row)
	return lavplatform.WriteResult{Won: true, Row: row}
}

func (s *Service) swap(w http.ResponseWriter, request *http.Request) {
	var body lavplatform.Swap
	if !readJSON(w, request, &body) {
		return
	}
	var written lavplatform.WriteResult
	call := lavfault.Call{HeldCall: lavtruth.HeldCall{Step: lavtruth.StepSwap, Table: body.Table, Key: body.Key, Value: body.Value}}
	done := s.faults.Do(request.Context(), call, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls++
		written = s.swapRow(body)
	})
	if !done {
		lavfault.WriteRefusal(w)
		return
	}
	lavhttp.WriteJSON(w, http.StatusOK, written)
}

// swapRow replaces a row that has the expected revision. A repeat by the writer of the next revision has won.
func (s *Service) swapRow(swap lavplatform.Swap) lavplatform.WriteResult {
	table := s.table(swap.Table)
	row := table[swap.Key]
	if row.Revision != swap.Revision {
		repeated := row.Revision == swap.Revision+1 && row.Writer == swap.Writer
		return lavplatform.WriteResult{Won: repeated, Row: row}
	}
	row.Revision++
	row.Table = swap.Table
	row.Key = swap.Key
	row.Writer = swap.Writer
	row.Value = swap.Value
	table[swap.Key] = row
	s.record(row)
	return lavplatform.WriteResult{Won: true, Row: row}
}

func (s *Service) record(row lavplatform.Row) {
	s.writes = append(s.writes, lavtruth.Write{Table: row.Table, Key: row.Key, Writer: row.Writer, Revision: row.Revision, At: time.Now()})
}

func (s *Service) get(w http.ResponseWriter, request *http.Request, params httprouter.Params) {
	name, key := params.ByName("table"), params.ByName("key")
	var row lavplatform.Row
	var ok bool
	call := lavfault.Call{HeldCall: lavtruth.HeldCall{Step: lavtruth.StepGet, Table: name, Key: key}}
	done := s.faults.Do(request.Context(), call, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls++
		row, ok = s.table(name)[key]
	})
	if !done {
		lavfault.WriteRefusal(w)
		return
	}
	if !ok {
		lavhttp.WriteError(w, laverror.New(laverror.KindNotFound, "no such row", "check the key"))
		return
	}
	lavhttp.WriteJSON(w, http.StatusOK, row)
}

func (s *Service) scan(w http.ResponseWriter, request *http.Request, params httprouter.Params) {
	query := request.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "limit is not a number", "send a number as limit"))
		return
	}
	reply := scanReply{}
	name, after := params.ByName("table"), query.Get("after")
	call := lavfault.Call{HeldCall: lavtruth.HeldCall{Step: lavtruth.StepScan, Table: name, Key: after}}
	if !s.faults.Do(request.Context(), call, func() { reply.Rows = s.rowsAfter(name, after, limit) }) {
		lavfault.WriteRefusal(w)
		return
	}
	lavhttp.WriteJSON(w, http.StatusOK, reply)
}

// rowsAfter returns up to limit rows of a table with keys above after, in order of key.
func (s *Service) rowsAfter(name, after string, limit int) []lavplatform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	table := s.table(name)
	var keys []string
	for key := range table {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	var rows []lavplatform.Row
	for _, key := range keys[:min(limit, len(keys))] {
		rows = append(rows, table[key])
	}
	return rows
}

func (s *Service) table(name string) map[string]lavplatform.Row {
	table, ok := s.tables[name]
	if !ok {
		table = make(map[string]lavplatform.Row)
		s.tables[name] = table
	}
	return table
}

// readJSON decodes the body of a request and reports whether that succeeded. After a failure it has written an error
// reply.
func readJSON(w http.ResponseWriter, request *http.Request, body any) bool {
	if err := json.NewDecoder(request.Body).Decode(body); err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "decode JSON body: "+err.Error(), "send JSON"))
		return false
	}
	return true
}
