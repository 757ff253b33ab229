package platformd

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 16 << 20

// Server serves the platform's protocol. Close ends it.
type Server struct {
	table     *table
	instances *instanceList
	counts    *counters
	state     faultState

	objectsMu sync.Mutex
	objects   map[string][]byte

	url  string
	http *http.Server
	done chan struct{}
}

// Start listens on address, IP:port.
func Start(address string) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{
		table:     newTable(),
		instances: newInstanceList(),
		counts:    newCounters(),
		objects:   make(map[string][]byte),
		url:       "http://" + listener.Addr().String(),
		done:      make(chan struct{}),
	}
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: time.Minute}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(listener)
	}()
	return s, nil
}

// URL returns the base of all paths.
func (s *Server) URL() string { return s.url }

// Close closes the listener and all connections.
func (s *Server) Close() error {
	err := s.http.Close()
	<-s.done
	return err
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/table/get", s.faulty(s.get))
	mux.HandleFunc("POST /v1/table/list", s.faulty(s.list))
	mux.HandleFunc("POST /v1/table/commit", s.faulty(s.commit))
	mux.HandleFunc("PUT /v1/object/{digest}", s.faulty(s.putObject))
	mux.HandleFunc("GET /v1/object/{digest}", s.faulty(s.getObject))
	mux.HandleFunc("GET /v1/instances", s.faulty(s.listInstances))
	s.addControl(mux)
	return mux
}

// faulty delays or refuses a request as the faults say.
func (s *Server) faulty(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		faults := s.state.get()
		if faults.Hang {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		if faults.Down {
			http.Error(w, "the service is down", http.StatusServiceUnavailable)
			return
		}
		serve(w, r)
	}
}

// delayBefore waits out the delay before a request takes effect. The body must
// have been read.
func (s *Server) delayBefore() { time.Sleep(s.state.get().before()) }

func (s *Server) answer(w http.ResponseWriter, value any) {
	time.Sleep(s.state.get().after())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Key string `json:"key"`
	}
	if !decode(w, r, &request) {
		return
	}
	s.delayBefore()
	s.counts.read(request.Key)
	s.answer(w, struct {
		Row *Row `json:"row"`
	}{s.table.get(request.Key)})
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Prefix string `json:"prefix"`
	}
	if !decode(w, r, &request) {
		return
	}
	s.delayBefore()
	s.counts.read(request.Prefix)
	s.answer(w, struct {
		Rows []Row `json:"rows"`
	}{s.table.list(request.Prefix)})
}

func (s *Server) commit(w http.ResponseWriter, r *http.Request) {
	var request struct {
		OpID   string  `json:"op_id"`
		Writes []write `json:"writes"`
	}
	if !decode(w, r, &request) {
		return
	}
	if request.OpID == "" || len(request.Writes) == 0 {
		http.Error(w, "op_id and writes are required", http.StatusBadRequest)
		return
	}
	s.delayBefore()
	for _, each := range request.Writes {
		s.counts.write(each.Key)
	}
	applied, rows := s.table.commit(request.OpID, request.Writes)
	if s.state.takeLoss(request.Writes) {
		drop(w)
		return
	}
	s.answer(w, struct {
		Applied bool   `json:"applied"`
		Rows    []*Row `json:"rows"`
	}{applied, rows})
}

// drop closes the connection without an answer.
func drop(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(errors.Wrap(err, "hijack"))
	}
	_ = conn.Close()
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	sum := sha256.Sum256(data)
	digest := r.PathValue("digest")
	if digest != hex.EncodeToString(sum[:]) {
		http.Error(w, "the digest is not that of the body", http.StatusBadRequest)
		return
	}
	s.delayBefore()
	s.counts.write("object/")
	s.objectsMu.Lock()
	s.objects[digest] = data
	s.objectsMu.Unlock()
	time.Sleep(s.state.get().after())
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	s.delayBefore()
	s.counts.read("object/")
	s.objectsMu.Lock()
	data, found := s.objects[r.PathValue("digest")]
	s.objectsMu.Unlock()
	time.Sleep(s.state.get().after())
	if !found {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (s *Server) listInstances(w http.ResponseWriter, _ *http.Request) {
	s.delayBefore()
	s.counts.read("instances")
	s.answer(w, struct {
		Instances []Instance `json:"instances"`
	}{s.instances.list(s.state.get().listLag())})
}
