package main

import (
	"encoding/json"
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

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// Store is the platform's metadata store.
type Store struct {
	listener net.Listener
	begun    time.Time

	mu      sync.Mutex
	changed *sync.Cond
	rows    map[string]row
	history []row
	// first is the version before the oldest change in history.
	first   int64
	version int64
	era     int64
	down    bool
}

// storeCopy is a copy of the store's rows.
type storeCopy struct {
	rows    map[string]row
	version int64
}

func startStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: listener, begun: time.Now(), rows: map[string]row{}, version: 1, first: 1, era: 1}
	s.changed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /gypsumdock/rows-get", s.get)
	mux.HandleFunc("POST /gypsumdock/rows-tx", s.transact)
	mux.HandleFunc("GET /gypsumdock/rows-feed", s.feed)
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(4 * time.Millisecond)
			s.mu.Lock()
			down := s.down
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
			s.mu.Unlock()
			if down {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mux.ServeHTTP(w, r)
		}))
	}()
	return s, nil
}

func (s *Store) address() string { return s.listener.Addr().String() }

// setDown makes the store answer 503, which means that nothing was done.
func (s *Store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.changed.Broadcast()
}

// copyRows returns a copy of all rows.
func (s *Store) copyRows() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := map[string]row{}
	for id, r := range s.rows {
		kept[id] = r
	}
	return storeCopy{rows: kept, version: s.version}
}

// restore returns the store to a copy. What the operator and the databases wrote
// since is written again; what the system wrote since is gone.
func (s *Store) restore(old storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.rows
	s.rows = map[string]row{}
	for id, r := range old.rows {
		s.rows[id] = r
	}
	s.version = old.version
	s.history = nil
	s.first = old.version
	s.era++
	for id, r := range present {
		if (r.Table == "op" || r.Table == "servers") && string(s.rows[id].Value) != string(r.Value) {
			s.write([]row{{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value}}, nil)
		}
	}
	for id, r := range s.rows {
		if _, still := present[id]; !still && r.Table == "servers" {
			s.write(nil, []row{{Table: r.Table, Part: r.Part, Key: r.Key}})
		}
	}
}

func (s *Store) put(table, key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]row{{Table: table, Key: key, Value: data}}, nil)
}

func (s *Store) drop(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(nil, []row{{Table: table, Key: key}})
}

// systemRows describes the rows that the system itself has written.
func (s *Store) systemRows() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []string
	for _, r := range s.rows {
		if r.Table != "op" && r.Table != "servers" {
			all = append(all, r.Key+" version "+strconv.FormatInt(r.Version, 10))
		}
	}
	slices.Sort(all)
	return strings.Join(all, "; ")
}

func (s *Store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["row_version"] = s.version
	body["current_time_ms"] = time.Since(s.begun).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
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
	more := len(found) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": found[:min(limit, len(found))], "has_more": more})
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Expect  []row `json:"expect"`
		Upserts []row `json:"upserts"`
		Deletes []row `json:"deletes"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, changed := range append(slices.Clone(request.Upserts), request.Deletes...) {
		if changed.Table == "op" || changed.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	current := []row{}
	holds := true
	for _, expected := range request.Expect {
		stored, exists := s.rows[expected.id()]
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
func (s *Store) write(upserts, deletes []row) {
	s.version++
	for _, put := range upserts {
		put.Version = s.version
		s.rows[put.id()] = put
		s.history = append(s.history, put)
	}
	for _, dropped := range deletes {
		delete(s.rows, dropped.id())
		dropped.Version = s.version
		dropped.Deleted = true
		s.history = append(s.history, dropped)
	}
	s.changed.Broadcast()
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	pause, _ := strconv.Atoi(query.Get("wait_timeout_ms"))
	end := time.Now().Add(time.Duration(pause) * time.Millisecond)
	timer := time.AfterFunc(time.Until(end), s.changed.Broadcast)
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if s.down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after < s.first || after > s.version {
			w.WriteHeader(http.StatusGone)
			return
		}
		newest := map[string]int{}
		found := []row{}
		for _, change := range s.history {
			if change.Version <= after || change.Table != query.Get("table_name") {
				continue
			}
			if at, seen := newest[change.id()]; seen {
				found[at].Table = ""
			}
			newest[change.id()] = len(found)
			found = append(found, change)
		}
		found = slices.DeleteFunc(found, func(r row) bool { return r.Table == "" })
		if len(found) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			s.answer(w, http.StatusOK, map[string]any{"rows": found})
			return
		}
		s.changed.Wait()
	}
}
