package receiver

import "net/http"

// routes returns the API's paths.
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
		// The multiplexer would answer a path that is not clean by a redirect.
		if !isCleanPath(request.URL.Path) {
			unknown(w, request)
			return
		}
		mux.ServeHTTP(w, request)
	})
}

// Healthz answers 200 while the process runs.
func Healthz() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
}

// Readyz answers 200 while ready returns nil, and else 503 with the reason.
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
