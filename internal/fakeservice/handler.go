package fakeservice

import (
	"cmp"
	"net/http"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/faker"
)

// handler serves a Service over HTTP.
type handler struct{ service *Service }

// Handler returns the HTTP handler of the service. It serves GET /counts,
// GET /status?Key=, GET and PUT /faults, PUT /leaving, GET /healthz and
// GET /v1/load, and executes every other request.
func (s *Service) Handler() http.Handler {
	h := &handler{service: s}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /counts", h.counts)
	mux.HandleFunc("GET /status", h.status)
	mux.HandleFunc("GET /faults", h.faults)
	mux.HandleFunc("PUT /faults", h.setFaults)
	mux.HandleFunc("PUT /leaving", faker.LeavingHandler(s.SetLeaving))
	mux.HandleFunc("GET /healthz", faker.Healthz)
	mux.HandleFunc("GET /v1/load", h.load)
	mux.HandleFunc("/", h.execute)
	return mux
}

func (h *handler) counts(w http.ResponseWriter, _ *http.Request) {
	faker.WriteJSON(w, http.StatusOK, h.service.Counts())
}

func (h *handler) load(w http.ResponseWriter, _ *http.Request) {
	faker.WriteJSON(w, http.StatusOK, h.service.Load())
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	status := h.service.Status(r.URL.Query().Get("Key"))
	code := http.StatusOK
	if status.State == StateAbsent {
		code = http.StatusNotFound
	}
	faker.WriteJSON(w, code, status)
}

func (h *handler) faults(w http.ResponseWriter, _ *http.Request) {
	faker.WriteJSON(w, http.StatusOK, h.service.Faults())
}

func (h *handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !faker.ReadJSON(w, r, &faults) {
		return
	}
	h.service.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// execute executes one request with the current faults.
func (h *handler) execute(w http.ResponseWriter, r *http.Request) {
	body, ok := faker.ReadBody(w, r)
	if !ok {
		return
	}
	if !h.service.receive() {
		faker.WriteLeaving(w)
		return
	}
	defer h.service.finish()
	faults := h.service.consumeFaults()
	injectBeforeExecution(r, faults)
	if faults.Refuse {
		faker.WriteProblem(w, http.StatusServiceUnavailable, "the service refuses for now")
		return
	}
	time.Sleep(faults.Delay)
	echo := h.service.Execute(newRequest(r, body))
	injectAfterExecution(r, faults)
	if faults.Fail {
		faker.WriteProblem(w, http.StatusInternalServerError, "the service failed after executing")
		return
	}
	faker.WriteJSON(w, http.StatusOK, echo)
}

// newRequest converts an HTTP request and its body to a Request.
func newRequest(r *http.Request, body []byte) Request {
	key := cmp.Or(r.Header.Get("Idempotency-Key"), r.Header.Get("Wigeonstand-Key"), bodyKey(body))
	return Request{Key: key, Method: r.Method, Path: r.URL.RequestURI(), Body: string(body)}
}

// injectBeforeExecution injects the faults that apply before the execution.
func injectBeforeExecution(r *http.Request, faults Faults) {
	if faults.CloseBefore {
		faker.Abort()
	}
	if faults.HangBefore {
		faker.Hang(r)
	}
}

// injectAfterExecution injects the faults that apply after the execution, other
// than Fail.
func injectAfterExecution(r *http.Request, faults Faults) {
	if faults.CloseAfter {
		faker.Abort()
	}
	if faults.HangAfter {
		faker.Hang(r)
	}
}
