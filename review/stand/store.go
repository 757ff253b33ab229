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

// row is a row of the store as it is sent.
type row struct {
	Table   string `json:"table_name"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"row_version,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

// storeCopy is a copy of the store's rows at one moment.
type storeCopy struct {
	rows    map[string]row
	version int64
	at      time.Time
}

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
	// away is set while the store answers nothing: each connection is closed.
	away bool
	// turnedAway holds the IP addresses of the machines that get 503.
	turnedAway map[string]bool
	rec        *Recorder
}

func startStore(rec *Recorder) (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		listener: listener, begun: time.Now(), rows: map[string]row{}, version: 1, first: 1, era: 1,
		turnedAway: map[string]bool{}, rec: rec,
	}
	s.changed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /gypsumdock/rows-get", s.get)
	mux.HandleFunc("POST /gypsumdock/rows-tx", s.transact)
	mux.HandleFunc("GET /gypsumdock/rows-feed", s.feed)
	mux.HandleFunc("GET /gypsumdock/rows-parts", s.parts)
	go func() { _ = http.Serve(listener, s.gate(mux)) }()
	return s, nil
}

// Address returns the store's address.
func (s *Store) Address() string { return s.listener.Addr().String() }

// gate turns calls away while the store is away.
func (s *Store) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		s.mu.Lock()
		away, refused := s.away, s.turnedAway[host]
		s.mu.Unlock()
		if away {
			panic(http.ErrAbortHandler)
		}
		if refused {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// SetAway makes the store unavailable, or available again.
func (s *Store) SetAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	s.changed.Broadcast()
}

// Copy returns a copy of the store.
func (s *Store) Copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := storeCopy{rows: map[string]row{}, version: s.version, at: time.Now()}
	for key, r := range s.rows {
		kept.rows[key] = r
	}
	return kept
}

// Restore brings the store back to a copy. Versions go back with it, the history
// before it is gone, and the era rises by one.
func (s *Store) Restore(from storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.Logf("store", "restored: version %d goes back to %d, a copy %.1f s old", s.version, from.version, time.Since(from.at).Seconds())
	s.rows = map[string]row{}
	for key, r := range from.rows {
		s.rows[key] = r
	}
	s.version = from.version
	s.first = from.version
	s.history = nil
	s.era++
	s.changed.Broadcast()
}

// Get returns the value of a row.
func (s *Store) Get(table, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, found := s.rows[rowKey(row{Table: table, Key: key})]
	return r.Value, found
}

// Put writes a row for the operator or a database, and reports whether the store
// has accepted it.
func (s *Store) Put(table, key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.write([]row{{Table: table, Key: key, Value: value}}, nil)
	return true
}

// Delete removes a row.
func (s *Store) Delete(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.write(nil, []row{{Table: table, Key: key}})
	return true
}

func rowKey(r row) string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

func (s *Store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["row_version"] = s.version
	body["current_time_ms"] = time.Since(s.begun).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil {
		limit = 500
	}
	time.Sleep(2 * time.Millisecond)
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

func (s *Store) parts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer(w, http.StatusOK, map[string]any{"parts": []string{""}, "has_more": false})
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Expect  []row `json:"expect"`
		Upserts []row `json:"upserts"`
		Deletes []row `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(4 * time.Millisecond)
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
	for _, put := range append(slices.Clone(request.Upserts), request.Deletes...) {
		if put.Table == "op" || put.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.write(request.Upserts, request.Deletes)
	for _, put := range request.Upserts {
		s.rec.Logf("store", "version %d: %s/%s written", s.version, put.Table, put.Key)
	}
	s.answer(w, http.StatusOK, map[string]any{})
}

// write applies a transaction. s.mu is held.
func (s *Store) write(upserts, deletes []row) {
	s.version++
	for _, put := range upserts {
		put.Version = s.version
		s.rows[rowKey(put)] = put
		s.history = append(s.history, put)
	}
	for _, dropped := range deletes {
		delete(s.rows, rowKey(dropped))
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
	era := s.era
	for {
		if s.away || s.era != era {
			s.mu.Unlock()
			defer s.mu.Lock()
			panic(http.ErrAbortHandler)
		}
		// Changes before the history, and a version that the store does not have.
		if after < s.first || after > s.version {
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
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
