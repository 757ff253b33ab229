package hosted

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// StoreFault is what goes wrong with the store.
type StoreFault int

// The faults of the store.
const (
	StoreWell StoreFault = iota
	// StoreBusy answers 503.
	StoreBusy
	// StoreCrowded answers 429.
	StoreCrowded
	// StoreReset closes each connection.
	StoreReset
	// StoreSilent answers nothing.
	StoreSilent
	// StoreLost carries writes out and answers nothing.
	StoreLost
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

// Store is the metadata store. It is safe for concurrent use.
type Store struct {
	listener net.Listener
	server   *http.Server
	begun    time.Time

	mu      sync.Mutex
	changed *sync.Cond
	rows    map[string]row
	// history holds every change, oldest first; first is the version before it.
	history []row
	first   int64
	version int64
	fault   StoreFault
	calls   int
}

// StartStore starts a store on a free port of the loopback interface.
func StartStore() (*Store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: listener, begun: time.Now(), rows: map[string]row{}, version: 1, first: 1}
	s.changed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /gypsumdock/rows-get", s.get)
	mux.HandleFunc("POST /gypsumdock/rows-tx", s.transact)
	mux.HandleFunc("GET /gypsumdock/rows-feed", s.feed)
	s.server = &http.Server{Handler: s.faulty(mux)}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Address returns the store's address.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetFault brings about a fault, until the next call.
func (s *Store) SetFault(fault StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// ForgetHistory drops the history, as of a store that keeps little of it.
func (s *Store) ForgetHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.first = s.version
}

// Put writes a row for the operator or a database.
func (s *Store) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write([]row{{Table: table, Key: key, Value: value}}, nil)
}

// Delete removes a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(nil, []row{{Table: table, Key: key}})
}

// faulty applies the fault before a call reaches its handler.
func (s *Store) faulty(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		fault := s.fault
		s.mu.Unlock()
		switch fault {
		case StoreBusy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case StoreCrowded:
			w.WriteHeader(http.StatusTooManyRequests)
		case StoreReset:
			panic(http.ErrAbortHandler)
		case StoreSilent:
			<-r.Context().Done()
		case StoreLost:
			if r.Method == http.MethodPost {
				next.ServeHTTP(discard{}, r)
				<-r.Context().Done()
				return
			}
			next.ServeHTTP(w, r)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// discard drops an answer.
type discard struct{}

func (discard) Header() http.Header            { return http.Header{} }
func (discard) Write(data []byte) (int, error) { return len(data), nil }
func (discard) WriteHeader(int)                {}
func rowKey(r row) string                      { return r.Table + "\x00" + r.Part + "\x00" + r.Key }
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
	if err != nil {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []row{}
	for _, stored := range s.rows {
		if stored.Table == query.Get("table_name") && stored.Part == query.Get("part") && stored.Key >= query.Get("from") {
			found = append(found, stored)
		}
	}
	slices.SortFunc(found, func(a, b row) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	more := len(found) > limit
	s.answer(w, http.StatusOK, map[string]any{"rows": found[:min(limit, len(found))], "has_more": more})
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
	for {
		if after < s.first {
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
