package platformd

import (
	"net/http"
)

// InstanceChange adds or replaces an entry of the instance list, or removes it.
type InstanceChange struct {
	Instance Instance `json:"instance"`
	Removed  bool     `json:"removed,omitempty"`
}

func (s *Server) addControl(mux *http.ServeMux) {
	mux.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.state.get())
	})
	mux.HandleFunc("PUT /control/faults", s.setFaults)
	mux.HandleFunc("POST /control/instances", s.changeInstance)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Counts())
	})
	mux.HandleFunc("GET /control/rows", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, s.table.list(r.URL.Query().Get("prefix")))
	})
}

// Counts returns the numbers of requests since the start.
func (s *Server) Counts() Counts {
	s.state.mu.Lock()
	lost := s.state.lost
	s.state.mu.Unlock()
	return s.counts.snapshot(lost)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !decode(w, r, &faults) {
		return
	}
	s.state.set(faults)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) changeInstance(w http.ResponseWriter, r *http.Request) {
	var change InstanceChange
	if !decode(w, r, &change) {
		return
	}
	s.instances.change(change.Instance, change.Removed)
	w.WriteHeader(http.StatusNoContent)
}
