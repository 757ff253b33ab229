package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row as the store sends it.
type row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"row_version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	listener net.Listener
	begun    time.Time

	mu      sync.Mutex
	changed *sync.Cond
	rows    map[string]row
	history []row
	version int64
	// first is the version before the oldest change that is kept, and era the number
	// of the returns from a copy, plus one.
	first int64
	era   int
	away  bool
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, begun: time.Now(), rows: map[string]row{}, version: 1, first: 1, era: 1}
	s.changed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /gypsumdock/rows-get", s.get)
	mux.HandleFunc("POST /gypsumdock/rows-tx", s.transact)
	mux.HandleFunc("GET /gypsumdock/rows-feed", s.feed)
	go func() { _ = http.Serve(listener, s.withEra(mux)) }()
	return s, nil
}

// withEra adds the era to all answers, and answers nothing but 503 while the store is
// away.
func (s *store) withEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// storeCopy is a copy of the store.
type storeCopy struct {
	rows    map[string]row
	version int64
}

func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{rows: maps.Clone(s.rows), version: s.version}
}

// drill takes the store away for a moment and has it come back from a copy. What the
// operator and the databases have written since is written again.
func (s *store) drill(from storeCopy, away time.Duration) {
	s.mu.Lock()
	s.away = true
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := s.rows
	s.rows, s.version, s.first, s.history = maps.Clone(from.rows), from.version, from.version, nil
	s.era++
	s.away = false
	for key, r := range newest {
		outside := r.Table == "op" || r.Table == "servers"
		if old, exists := from.rows[key]; outside && (!exists || string(old.Value) != string(r.Value)) {
			s.write([]row{{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value}}, nil)
		}
	}
	for key, r := range from.rows {
		if _, exists := newest[key]; !exists && (r.Table == "op" || r.Table == "servers") {
			s.write(nil, []row{{Table: r.Table, Part: r.Part, Key: r.Key}})
		}
	}
	s.changed.Broadcast()
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a row for the operator or a database.
func (s *store) put(table, key string, value any) {
	body, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]row{{Table: table, Key: key, Value: body}}, nil)
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(nil, []row{{Table: table, Key: key}})
}

func rowKey(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

func (s *store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["row_version"] = s.version
	body["current_time_ms"] = time.Since(s.begun).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for _, stored := range s.rows {
		inRange := stored.Key >= query.Get("from") && (query.Get("target") == "" || stored.Key < query.Get("target"))
		if stored.Table == query.Get("table_name") && stored.Part == query.Get("part") && inRange {
			found = append(found, stored)
		}
	}
	slices.SortFunc(found, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	s.answer(w, http.StatusOK, map[string]any{"rows": found[:min(limit, len(found))], "has_more": len(found) > limit})
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Expect  []row `json:"expect"`
		Upserts []row `json:"upserts"`
		Deletes []row `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, written := range append(append([]row{}, request.Upserts...), request.Deletes...) {
		if written.Table == "op" || written.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	holds := true
	for _, expected := range request.Expect {
		stored, exists := s.rows[rowKey(expected)]
		if exists {
			current = append(current, stored)
		}
		holds = holds && stored.Version == expected.Version
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, map[string]any{"rows": current})
		return
	}
	s.write(request.Upserts, request.Deletes)
	s.answer(w, http.StatusOK, map[string]any{})
}

// write applies a transaction. s.mu is held.
func (s *store) write(upserts, deletes []row) {
	s.version++
	for _, put := range upserts {
		put.Version = s.version
		s.rows[rowKey(put)] = put
		s.history = append(s.history, put)
	}
	for _, dropped := range deletes {
		delete(s.rows, rowKey(dropped))
		dropped.Version, dropped.Deleted, dropped.Value = s.version, true, nil
		s.history = append(s.history, dropped)
	}
	s.changed.Broadcast()
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	pause, _ := strconv.Atoi(query.Get("wait_timeout_ms"))
	end := time.Now().Add(time.Duration(pause) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), s.changed.Broadcast)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if after < s.first || after > s.version {
			w.WriteHeader(http.StatusGone)
			return
		}
		found := []row{}
		for _, change := range s.history {
			if change.Version > after && change.Table == query.Get("table_name") {
				found = append(found, change)
			}
		}
		if len(found) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			s.answer(w, http.StatusOK, map[string]any{"rows": found})
			return
		}
		s.changed.Wait()
	}
}
