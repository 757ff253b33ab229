package admin

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"
	"time"

	"gypsumdock/pkg/telemetry"
)

// Paths of the handler.
const (
	PathMetrics     = "/metrics"
	PathLive        = "/livez"
	PathReady       = "/readyz"
	PathStatus      = "/status"
	PathGroupSwitch = "/group/switch"
	PathProfiles    = "/debug/pprof/"
)

// Limits and values of the server.
const (
	maxRequestBytes = 4 << 10
	headerTimeout   = 5 * time.Second
	idleTimeout     = time.Minute
	contentJSON     = "application/json"
)

// NewServer returns a server with the handler and its timeouts. It does not listen
// yet: the caller calls Serve with a listener.
func NewServer(source Source) *http.Server {
	return &http.Server{
		Handler:           NewHandler(source),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// NewHandler returns the handler for all paths.
func NewHandler(source Source) http.Handler {
	h := &handler{source: source}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+PathMetrics, h.metrics)
	mux.HandleFunc("GET "+PathLive, h.live)
	mux.HandleFunc("GET "+PathReady, h.ready)
	mux.HandleFunc("GET "+PathStatus, h.status)
	mux.HandleFunc("POST "+PathGroupSwitch, h.groupSwitch)
	mux.HandleFunc("GET "+PathProfiles, pprof.Index)
	mux.HandleFunc("GET "+PathProfiles+"profile", pprof.Profile)
	return mux
}

type handler struct{ source Source }

func (h *handler) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	telemetry.WriteMetrics(w)
}

func (h *handler) live(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

// ready answers with status 503 before the first configuration is active and once a
// stop has begun, so that a load balancer sends no new callers.
func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	state := h.source.Status().State
	if state != StateReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_, _ = w.Write([]byte(string(state) + "\n"))
}

func (h *handler) status(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, h.source.Status())
}

// groupSwitch requests a change of primary from the source. It requires the content
// type of JSON, which a form of a web page on another site cannot send.
func (h *handler) groupSwitch(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Content-Type") != contentJSON {
		answer(w, http.StatusUnsupportedMediaType, Failure{Error: "the body must be " + contentJSON})
		return
	}
	var request SwitchRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		answer(w, http.StatusBadRequest, Failure{Error: err.Error()})
		return
	}
	if err := h.source.Switch(r.Context(), request.Group, request.Target); err != nil {
		answer(w, http.StatusConflict, Failure{Error: err.Error()})
		return
	}
	answer(w, http.StatusAccepted, request)
}

// answer writes value as JSON. A write error is ignored, as it means that the client
// has closed the connection.
func answer(w http.ResponseWriter, code int, value any) {
	w.Header().Set("Content-Type", contentJSON)
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(value)
}
