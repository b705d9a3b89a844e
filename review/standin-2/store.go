package main

import (
	"encoding/json"
	"net/http"
	"slices"
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
	RowVersion int    `json:"row-version"`
	Removed    bool   `json:"removed,omitempty"`
}

// store is a stand-in of the platform's store. It keeps rows in memory and serves the calls on rows.
type store struct {
	mu      sync.Mutex
	rows    map[string]row
	history []row
	version int
	// oldest is the version before which there is no history.
	oldest int
	// era is stated in each answer.
	era int
	// away makes the store answer 503 to each call.
	away    bool
	started time.Time
}

func newStore() *store {
	return &store{rows: make(map[string]row), started: time.Now()}
}

func rowName(table, key string) string { return table + "\x00" + key }

// put writes a row, as the operator and the replicas do.
func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: []byte(value)})
}

// drop deletes a row.
func (s *store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.remove(table, key)
}

func (s *store) set(written row) {
	written.RowVersion = s.version
	s.rows[rowName(written.Table, written.Key)] = written
	s.history = append(s.history, written)
}

func (s *store) remove(table, key string) {
	if _, found := s.rows[rowName(table, key)]; !found {
		return
	}
	delete(s.rows, rowName(table, key))
	s.history = append(s.history, row{Table: table, Key: key, RowVersion: s.version, Removed: true})
}

// backup is a copy of the store.
type backup struct {
	rows    map[string]row
	version int
}

func (s *store) backup() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := make(map[string]row, len(s.rows))
	for name, kept := range s.rows {
		rows[name] = kept
	}
	return backup{rows: rows, version: s.version}
}

// setAway makes the store refuse all calls, or serve them again.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// restore brings the store back from a copy, in the next era.
func (s *store) restore(from backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = make(map[string]row, len(from.rows))
	for name, kept := range from.rows {
		s.rows[name] = kept
	}
	s.version, s.oldest, s.history = from.version, from.version, nil
	s.era++
	s.away = false
}

func (s *store) list(table, from, to string) []row {
	rows := []row{}
	for _, kept := range s.rows {
		if kept.Table == table && kept.Key >= from && (to == "" || kept.Key < to) {
			rows = append(rows, kept)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// changes returns the newest state of each row of a table that has changed after a version, in order.
func (s *store) changes(table string, after int) []row {
	rows := []row{}
	seen := make(map[string]bool)
	for _, changed := range slices.Backward(s.history) {
		if changed.RowVersion <= after {
			break
		}
		if changed.Table == table && !seen[changed.Key] {
			seen[changed.Key] = true
			rows = append(rows, changed)
		}
	}
	slices.Reverse(rows)
	return rows
}

// ServeHTTP serves one call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.Atoi(query.Get("after"))
	if strings.HasSuffix(r.URL.Path, "/rows-feed") {
		wait, _ := strconv.Atoi(query.Get("wait-ms"))
		for end := time.Now().Add(time.Duration(wait) * time.Millisecond); time.Now().Before(end) && r.Context().Err() == nil; time.Sleep(5 * time.Millisecond) {
			s.mu.Lock()
			ready := s.away || after < s.oldest || after > s.version || len(s.changes(query.Get("table"), after)) > 0
			s.mu.Unlock()
			if ready {
				break
			}
		}
	}
	s.mu.Lock()
	status, rows := s.answer(r, after)
	reply, _ := json.Marshal(map[string]any{"rows": rows, "row-version": s.version, "now-ms": time.Since(s.started).Milliseconds() + 1_000_000})
	era := s.era
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(era))
	w.WriteHeader(status)
	_, _ = w.Write(reply)
}

func (s *store) answer(r *http.Request, after int) (int, []row) {
	query := r.URL.Query()
	switch {
	case s.away:
		return http.StatusServiceUnavailable, []row{}
	case strings.HasSuffix(r.URL.Path, "/rows-get"):
		return http.StatusOK, s.list(query.Get("table"), query.Get("from"), query.Get("to"))
	case strings.HasSuffix(r.URL.Path, "/rows-feed"):
		if after < s.oldest || after > s.version {
			return http.StatusGone, []row{}
		}
		return http.StatusOK, s.changes(query.Get("table"), after)
	case strings.HasSuffix(r.URL.Path, "/rows-tx"):
		return s.apply(r)
	}
	return http.StatusNotFound, []row{}
}

func (s *store) apply(r *http.Request) (int, []row) {
	var call struct {
		Expected []row `json:"expected-revision"`
		Puts     []row `json:"puts"`
		Deletes  []row `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		return http.StatusBadRequest, []row{}
	}
	for _, expected := range call.Expected {
		if s.rows[rowName(expected.Table, expected.Key)].RowVersion != expected.RowVersion {
			return http.StatusPreconditionFailed, []row{}
		}
	}
	for _, written := range append(slices.Clone(call.Puts), call.Deletes...) {
		if written.Table == "op" || written.Table == "servers" {
			return http.StatusForbidden, []row{}
		}
	}
	s.version++
	for _, written := range call.Puts {
		s.set(written)
	}
	for _, deleted := range call.Deletes {
		s.remove(deleted.Table, deleted.Key)
	}
	return http.StatusOK, []row{}
}
