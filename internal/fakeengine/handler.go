package fakeengine

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/wigeonstand/wigeonstand/internal/faker"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// handler serves an Engine over HTTP.
type handler struct{ engine *Engine }

// Handler returns the engine's HTTP face. Beside the protocol it serves
// GET and PUT /faults, PUT /leaving and GET /counts, which no fault touches.
func (e *Engine) Handler() http.Handler {
	h := &handler{engine: e}
	protocol := http.NewServeMux()
	protocol.HandleFunc("POST /v1/generate", h.generate)
	protocol.HandleFunc("POST /v1/cancel", h.cancel)
	protocol.HandleFunc("GET /v1/load", h.report(func() any { return e.Load() }))
	protocol.HandleFunc("GET /v1/holdings", h.report(func() any { return e.Holdings() }))
	protocol.HandleFunc("POST /v1/release", h.release)
	protocol.HandleFunc("GET /v1/events", h.events)
	protocol.HandleFunc("POST /v1/export", h.export)
	protocol.HandleFunc("POST /v1/import", h.importBlocks)
	protocol.HandleFunc("POST /v1/orders", h.order)
	protocol.HandleFunc("GET /v1/state", h.state)
	protocol.HandleFunc("GET /healthz", faker.Healthz)
	mux := http.NewServeMux()
	mux.Handle("/", h.silenced(protocol))
	mux.HandleFunc("GET /faults", h.faults)
	mux.HandleFunc("PUT /faults", h.setFaults)
	mux.HandleFunc("PUT /leaving", faker.LeavingHandler(e.SetLeaving))
	mux.HandleFunc("GET /counts", h.counts)
	return mux
}

// silenced hangs requests of every kind while the Silent fault is set.
func (h *handler) silenced(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.engine.Faults().Silent {
			// Only once the body is read does the server notice that the caller left.
			_, _ = io.Copy(io.Discard, r.Body)
			faker.Hang(r)
		}
		next.ServeHTTP(w, r)
	})
}

// report serves a value that the DropReports fault withholds.
func (h *handler) report(value func() any) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		h.dropReport()
		faker.WriteJSON(w, http.StatusOK, value())
	}
}

func (h *handler) dropReport() {
	if h.engine.Faults().DropReports {
		faker.Abort()
	}
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request) {
	var request generator.CancelRequest
	if !faker.ReadJSON(w, r, &request) {
		return
	}
	h.engine.Cancel(request.Request)
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) release(w http.ResponseWriter, r *http.Request) {
	var request generator.ReleaseRequest
	if !faker.ReadJSON(w, r, &request) {
		return
	}
	if h.engine.Faults().LoseReleases {
		faker.Abort()
	}
	h.engine.Release(request.Program)
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) events(w http.ResponseWriter, r *http.Request) {
	h.dropReport()
	after, err := parseAfter(r.URL.Query().Get("After"))
	if err != nil {
		faker.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	faker.WriteJSON(w, http.StatusOK, h.engine.Events(after))
}

// parseAfter returns the number, or zero for an empty text.
func parseAfter(text string) (int64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseInt(text, 10, 64)
}

func (h *handler) export(w http.ResponseWriter, r *http.Request) {
	var request generator.ReleaseRequest
	if !faker.ReadJSON(w, r, &request) {
		return
	}
	body, err := h.engine.Export(r.Context(), request.Program)
	if err != nil {
		faker.Abort()
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// The caller sees a cut connection; there is nobody else to tell.
	_, _ = w.Write(body)
}

func (h *handler) importBlocks(w http.ResponseWriter, r *http.Request) {
	body, ok := faker.ReadBody(w, r)
	if !ok {
		return
	}
	if err := h.engine.Import(r.Context(), body); err != nil {
		faker.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) order(w http.ResponseWriter, r *http.Request) {
	var order generator.Order
	if !faker.ReadJSON(w, r, &order) {
		return
	}
	report, err := h.engine.Order(r.Context(), order)
	if h.engine.Faults().LoseOrders {
		faker.Abort()
	}
	switch {
	case errors.Is(err, errOldFence):
		faker.WriteJSON(w, http.StatusConflict, report)
	case err != nil:
		faker.WriteProblem(w, http.StatusBadRequest, err.Error())
	default:
		faker.WriteJSON(w, http.StatusOK, report)
	}
}

func (h *handler) state(w http.ResponseWriter, _ *http.Request) {
	faker.WriteJSON(w, http.StatusOK, h.engine.State())
}

func (h *handler) counts(w http.ResponseWriter, _ *http.Request) {
	faker.WriteJSON(w, http.StatusOK, h.engine.Counts())
}

func (h *handler) faults(w http.ResponseWriter, _ *http.Request) {
	faker.WriteJSON(w, http.StatusOK, h.engine.Faults())
}

func (h *handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !faker.ReadJSON(w, r, &faults) {
		return
	}
	h.engine.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}
