package receiver

import "net/http"

// routes returns the handler that dispatches requests by method and path.
func (r *Receiver) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/programs", r.serve("Open", openProgram))
	mux.HandleFunc("DELETE /v1/programs/{program}", r.serve("End", rejectBody(endProgram)))
	mux.HandleFunc("POST /v1/programs/{program}/turns", r.serve("Turn", runTurn))
	mux.HandleFunc("GET /v1/programs/{program}/history", r.serve("History", rejectBody(readHistory)))
	mux.HandleFunc("GET /v1/programs/{program}/explanation", r.serve("Explain", rejectBody(explainProgram)))
	mux.HandleFunc("GET /v1/outcomes/{key}", r.serve("Outcome", rejectBody(readOutcome)))
	call := r.serve("Call", callService)
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodGet, http.MethodDelete} {
		mux.HandleFunc(method+" /v1/services/{service}", call)
		mux.HandleFunc(method+" /v1/services/{service}/{path...}", call)
	}
	unknown := r.serve("Unknown", handleUnknownPath)
	mux.HandleFunc("/", unknown)
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		// The multiplexer would redirect a path that is not clean.
		if !isCleanPath(request.URL.Path) {
			unknown(w, request)
			return
		}
		mux.ServeHTTP(w, request)
	})
}

// Healthz returns a liveness handler that always responds with 200.
func Healthz() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
}

// Readyz returns a readiness handler. It responds with 200 while ready returns nil,
// and with 503 and the reason otherwise or while the instance is stopping.
func (r *Receiver) Readyz(ready func() error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if r.stopping.Load() {
			http.Error(w, "stopping", http.StatusServiceUnavailable)
			return
		}
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
}
