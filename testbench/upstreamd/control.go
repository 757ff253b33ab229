package upstreamd

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"gypsumdock/pkg/state/model"
)

// Action is a fault or its end.
type Action string

// The actions on an upstream.
const (
	// ActionKill closes the listener and all connections; ActionRevive
	// listens again on the same port, with the data as it was.
	ActionKill   Action = "kill"
	ActionRevive Action = "revive"
	// ActionFreeze stops all work but keeps the connections, until ActionThaw.
	ActionFreeze Action = "freeze"
	ActionThaw   Action = "thaw"
	// ActionLag sets the replication lag to LagMS.
	ActionLag Action = "lag"
	// ActionStick stops the replay of the log, until ActionUnstick.
	ActionStick   Action = "stick"
	ActionUnstick Action = "unstick"
	// ActionCutReplication stops the flow of the log to a replica, or from a
	// primary, until ActionHealReplication.
	ActionCutReplication  Action = "cut_replication"
	ActionHealReplication Action = "heal_replication"
	// ActionCutAnswer cuts the next answer that matches Cut.
	ActionCutAnswer Action = "cut_answer"
	// ActionFollow makes a deposed primary a replica of the newest primary.
	ActionFollow Action = "follow"
	// ActionPromote promotes a replica.
	ActionPromote Action = "promote"
	// ActionAdvertise sets the address, Address, that replicas name as the one
	// they stream from.
	ActionAdvertise Action = "advertise"
	// ActionCosts sets Costs.
	ActionCosts Action = "costs"
)

// Fault is an order to change the state of an upstream.
type Fault struct {
	Group    string     `json:"group"`
	Upstream string     `json:"upstream"`
	Action   Action     `json:"action"`
	LagMS    int        `json:"lag_ms,omitempty"`
	Cut      *AnswerCut `json:"cut,omitempty"`
	Costs    *Costs     `json:"costs,omitempty"`
	Address  string     `json:"address,omitempty"`
}

// Status is the state of an upstream.
type Status struct {
	Group     string    `json:"group"`
	Upstream  string    `json:"upstream"`
	Address   string    `json:"address"`
	Primary   bool      `json:"primary"`
	Down      bool      `json:"down"`
	Frozen    bool      `json:"frozen"`
	Timeline  uint32    `json:"timeline"`
	Received  model.LSN `json:"received"`
	Replayed  model.LSN `json:"replayed"`
	Open      int       `json:"open"`
	PeakOpen  int       `json:"peak_open"`
	Refused   uint64    `json:"refused"`
	Reads     uint64    `json:"reads"`
	Writes    uint64    `json:"writes"`
	Queued    int64     `json:"queued"`
	SlotsBusy int       `json:"slots_busy"`
}

func (s *Server) startControl() error {
	listener, err := net.Listen("tcp", net.JoinHostPort(s.listen, "0"))
	if err != nil {
		return err
	}
	s.layout.Control = "http://" + listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /layout", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.layout) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Status()) })
	mux.HandleFunc("GET /log", s.serveLog)
	mux.HandleFunc("POST /fault", s.serveFault)
	s.control = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	s.tasks.Add(1)
	go func() {
		defer s.tasks.Done()
		_ = s.control.Serve(listener)
	}()
	return nil
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) serveLog(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	writeJSON(w, s.Log(after))
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.Apply(fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Log returns the entries that follow the sequence number after.
func (s *Server) Log(after uint64) []Entry { return s.log.after(after) }

// Status returns the state of all upstreams.
func (s *Server) Status() []Status {
	var all []Status
	for i, g := range s.groups {
		g.mu.Lock()
		g.replicate()
		for j, n := range g.nodes {
			state := n.status()
			state.Address = s.layout.Groups[i].Upstreams[j].Address
			all = append(all, state)
		}
		g.mu.Unlock()
	}
	return all
}

func (n *node) status() Status {
	return Status{
		Group: n.group.id, Upstream: n.id, Primary: n.primary, Down: n.down, Frozen: n.frozen(),
		Timeline: n.timeline, Received: n.position(len(n.wal)), Replayed: n.position(n.replayed),
		Open: n.open, PeakOpen: n.peak, Refused: n.refused.Load(),
		Reads: n.reads.Load(), Writes: n.writes.Load(), Queued: n.queued.Load(), SlotsBusy: len(n.slots),
	}
}
