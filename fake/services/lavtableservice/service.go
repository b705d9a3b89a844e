package lavtableservice

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/julienschmidt/httprouter"

	"lavenderswitch/core/modules/laverror"
	"lavenderswitch/core/modules/lavhttp"
	"lavenderswitch/core/modules/lavplatform"
)

// Service holds tables in memory.
type Service struct {
	mu     sync.Mutex
	tables map[string]map[string]lavplatform.Row
	hosts  []lavplatform.Host
}

// New returns a service without rows.
func New() *Service {
	return &Service{tables: make(map[string]map[string]lavplatform.Row)}
}

type insertRequest struct{ Inserts []lavplatform.Insert }

type insertReply struct{ Written []lavplatform.Written }

type scanReply struct{ Rows []lavplatform.Row }

type hostsReply struct{ Hosts []lavplatform.Host }

// Routes returns the handler of every path.
func (s *Service) Routes() http.Handler {
	router := httprouter.New()
	router.HandlerFunc(http.MethodPost, "/tables/insert", s.insert)
	router.HandlerFunc(http.MethodPost, "/tables/swap", s.swap)
	router.GET("/tables/:table/rows/:key", s.get)
	router.GET("/tables/:table/rows", s.scan)
	router.HandlerFunc(http.MethodGet, "/hosts", s.listHosts)
	router.HandlerFunc(http.MethodPut, "/hosts", s.setHosts)
	return router
}

func (s *Service) insert(w http.ResponseWriter, request *http.Request) {
	var body insertRequest
	if !readJSON(w, request, &body) {
		return
	}
	s.mu.Lock()
	reply := insertReply{}
	for _, insert := range body.Inserts {
		reply.Written = append(reply.Written, s.insertRow(insert))
	}
	s.mu.Unlock()
	lavhttp.WriteJSON(w, http.StatusOK, reply)
}

func (s *Service) insertRow(insert lavplatform.Insert) lavplatform.Written {
	table := s.table(insert.Table)
	if row, ok := table[insert.Key]; ok {
		return lavplatform.Written{Won: row.Writer == insert.Writer, Row: row}
	}
	row := lavplatform.Row{Table: insert.Table, Key: insert.Key, Revision: 1, Writer: insert.Writer, Value: insert.Value}
	table[insert.Key] = row
	return lavplatform.Written{Won: true, Row: row}
}

func (s *Service) swap(w http.ResponseWriter, request *http.Request) {
	var body lavplatform.Swap
	if !readJSON(w, request, &body) {
		return
	}
	s.mu.Lock()
	written := s.swapRow(body)
	s.mu.Unlock()
	lavhttp.WriteJSON(w, http.StatusOK, written)
}

func (s *Service) swapRow(swap lavplatform.Swap) lavplatform.Written {
	table := s.table(swap.Table)
	row := table[swap.Key]
	if row.Revision != swap.Revision {
		repeated := row.Revision == swap.Revision+1 && row.Writer == swap.Writer
		return lavplatform.Written{Won: repeated, Row: row}
	}
	row.Revision++
	row.Table = swap.Table
	row.Key = swap.Key
	row.Writer = swap.Writer
	row.Value = swap.Value
	table[swap.Key] = row
	return lavplatform.Written{Won: true, Row: row}
}

func (s *Service) get(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	s.mu.Lock()
	row, ok := s.table(params.ByName("table"))[params.ByName("key")]
	s.mu.Unlock()
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
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "limit is not a number", "send a limit"))
		return
	}
	lavhttp.WriteJSON(w, http.StatusOK, scanReply{Rows: s.rowsAfter(params.ByName("table"), query.Get("after"), limit)})
}

func (s *Service) rowsAfter(name, after string, limit int) []lavplatform.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
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

func (s *Service) listHosts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	hosts := slices.Clone(s.hosts)
	s.mu.Unlock()
	lavhttp.WriteJSON(w, http.StatusOK, hostsReply{Hosts: hosts})
}

func (s *Service) setHosts(w http.ResponseWriter, request *http.Request) {
	var body hostsReply
	if !readJSON(w, request, &body) {
		return
	}
	s.mu.Lock()
	s.hosts = body.Hosts
	s.mu.Unlock()
	lavhttp.WriteJSON(w, http.StatusOK, body)
}

func (s *Service) table(name string) map[string]lavplatform.Row {
	table, ok := s.tables[name]
	if !ok {
		table = make(map[string]lavplatform.Row)
		s.tables[name] = table
	}
	return table
}

func readJSON(w http.ResponseWriter, request *http.Request, body any) bool {
	if err := json.NewDecoder(request.Body).Decode(body); err != nil {
		lavhttp.WriteError(w, laverror.New(laverror.KindBadRequest, "body is not JSON: "+err.Error(), "send JSON"))
		return false
	}
	return true
}
