package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table      string `json:"table"`
	Part       string `json:"part"`
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	RowVersion int64  `json:"row-version"`
	Removed    bool   `json:"removed,omitempty"`
}

// store is a stand-in for the platform's store: tables of rows, transactions under a condition, and a feed of changes.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	removed []row
	version int64
	changed chan struct{}
	began   time.Time
	// onWrite is called with each row that is written, while the lock is held.
	onWrite func(row)
	// refuse answers 503 to the calls of a caller's IP address for which it returns true.
	refuse func(ip string) bool
}

func newStore() *store {
	return &store{rows: make(map[string]row), changed: make(chan struct{}), began: time.Now()}
}

func rowName(table, part, key string) string { return table + "\x00" + part + "\x00" + key }

// set writes rows in one transaction; the caller holds the lock.
func (s *store) set(puts, deletes []row) {
	s.version++
	for _, put := range puts {
		put.RowVersion = s.version
		s.rows[rowName(put.Table, put.Part, put.Key)] = put
		if s.onWrite != nil {
			s.onWrite(put)
		}
	}
	for _, gone := range deletes {
		delete(s.rows, rowName(gone.Table, gone.Part, gone.Key))
		gone.RowVersion, gone.Removed, gone.Value = s.version, true, nil
		s.removed = append(s.removed, gone)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a row as the operator or a replica does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set([]row{{Table: table, Key: key, Value: data}}, nil)
}

func (s *store) delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(nil, []row{{Table: table, Key: key}})
}

func (s *store) get(table, key string) (row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.rows[rowName(table, "", key)]
	return found, ok
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	if s.refuse != nil && s.refuse(host) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := r.URL.Query()
	time.Sleep(2 * time.Millisecond)
	switch {
	case strings.HasSuffix(r.URL.Path, "/rows-get"):
		s.mu.Lock()
		rows := s.selected(query.Get("table"), query.Get("part"), query.Get("from"), query.Get("to"))
		version := s.version
		s.mu.Unlock()
		s.reply(w, 200, rows, version)
	case strings.HasSuffix(r.URL.Path, "/rows-feed"):
		s.feed(w, r)
	case strings.HasSuffix(r.URL.Path, "/rows-tx"):
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) selected(table, part, from, to string) []row {
	rows := []row{}
	for _, each := range s.rows {
		if each.Table == table && each.Part == part && each.Key >= from && (to == "" || each.Key < to) {
			rows = append(rows, each)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, each := range s.rows {
			if each.Table == query.Get("table") && each.RowVersion > after {
				rows = append(rows, each)
			}
		}
		for _, each := range s.removed {
			if each.Table == query.Get("table") && each.RowVersion > after {
				rows = append(rows, each)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			sort.Slice(rows, func(i, j int) bool { return rows[i].RowVersion < rows[j].RowVersion })
			s.reply(w, 200, rows, version)
			return
		}
		select {
		case <-changed:
		case <-end:
			s.reply(w, 200, []row{}, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []row `json:"expected-revision"`
		Puts     []row `json:"puts"`
		Deletes  []row `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	current := []row{}
	ok := true
	for _, expected := range call.Expected {
		found := s.rows[rowName(expected.Table, expected.Part, expected.Key)]
		if found.RowVersion != expected.RowVersion {
			ok = false
		}
		if found.RowVersion != 0 {
			current = append(current, found)
		}
	}
	status, rows := 200, []row{}
	if ok {
		s.set(call.Puts, call.Deletes)
	} else {
		status, rows = http.StatusPreconditionFailed, current
	}
	version := s.version
	s.mu.Unlock()
	s.reply(w, status, rows, version)
}

func (s *store) reply(w http.ResponseWriter, status int, rows []row, version int64) {
	data, err := json.Marshal(map[string]any{"rows": rows, "truncated": false, "row-version": version, "now-ms": 60_000 + time.Since(s.began).Milliseconds()})
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
