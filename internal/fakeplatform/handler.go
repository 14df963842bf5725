package fakeplatform

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/wigeonstand/wigeonstand/internal/faker"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	bearer        = "Bearer "
	objectsPrefix = storer.PathObjects + "/"
)

// handler serves a Platform over HTTP.
type handler struct {
	platform *Platform
	key      string
	mux      *http.ServeMux
}

// Handler returns the platform's HTTP face. Requests must carry the bearer
// key, unless it is empty. The faults can always be read and set.
func (p *Platform) Handler(key string) http.Handler {
	h := &handler{platform: p, key: key, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST "+storer.PathCommit, h.commit)
	h.mux.HandleFunc("POST "+storer.PathRead, h.read)
	h.mux.HandleFunc("POST "+storer.PathScan, h.scan)
	h.mux.HandleFunc("GET "+storer.PathObjects, h.listObjects)
	h.mux.HandleFunc("GET "+storer.PathInstances, h.instances)
	h.mux.HandleFunc("POST "+storer.PathInstances, h.register)
	h.mux.HandleFunc("GET "+storer.PathFaults, h.faults)
	h.mux.HandleFunc("PUT "+storer.PathFaults, h.setFaults)
	h.mux.HandleFunc("GET /healthz", faker.Healthz)
	return h
}

// ServeHTTP implements http.Handler. Objects are served beside the mux, which
// would redirect keys that are not clean paths.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.key != "" && r.Header.Get("Authorization") != bearer+h.key {
		faker.WriteProblem(w, http.StatusUnauthorized, "the key is missing or not known")
		return
	}
	if key, ok := strings.CutPrefix(r.URL.Path, objectsPrefix); ok {
		h.object(w, r, key)
		return
	}
	h.mux.ServeHTTP(w, r)
}

func (h *handler) commit(w http.ResponseWriter, r *http.Request) {
	var commit storer.Commit
	if !faker.ReadJSON(w, r, &commit) {
		return
	}
	result, err := h.platform.Commit(r.Context(), commit)
	answer(w, result, err)
}

func (h *handler) read(w http.ResponseWriter, r *http.Request) {
	var request storer.ReadRequest
	if !faker.ReadJSON(w, r, &request) {
		return
	}
	rows, err := h.platform.Read(r.Context(), request.Keys...)
	answer(w, storer.ReadResponse{Rows: rows}, err)
}

func (h *handler) scan(w http.ResponseWriter, r *http.Request) {
	var request storer.ScanRequest
	if !faker.ReadJSON(w, r, &request) {
		return
	}
	rows, err := h.platform.Scan(r.Context(), request.Prefix, request.After, request.Limit)
	answer(w, storer.ReadResponse{Rows: rows}, err)
}

func (h *handler) listObjects(w http.ResponseWriter, r *http.Request) {
	limit, err := parseLimit(r.URL.Query().Get("Limit"))
	if err != nil {
		faker.WriteProblem(w, http.StatusBadRequest, err.Error())
		return
	}
	keys, err := h.platform.List(r.Context(), r.URL.Query().Get("Prefix"), limit)
	answer(w, storer.ObjectList{Keys: keys}, err)
}

// parseLimit returns the number, or zero for an empty text.
func parseLimit(text string) (int, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.Atoi(text)
}

func (h *handler) object(w http.ResponseWriter, r *http.Request, key string) {
	switch r.Method {
	case http.MethodPut:
		h.putObject(w, r, key)
	case http.MethodGet:
		h.getObject(w, r, key)
	case http.MethodDelete:
		answerEmpty(w, h.platform.Delete(r.Context(), key))
	default:
		faker.WriteProblem(w, http.StatusMethodNotAllowed, "an object takes GET, PUT and DELETE")
	}
}

func (h *handler) putObject(w http.ResponseWriter, r *http.Request, key string) {
	body, ok := faker.ReadBody(w, r)
	if !ok {
		return
	}
	answerEmpty(w, h.platform.Put(r.Context(), key, body))
}

func (h *handler) getObject(w http.ResponseWriter, r *http.Request, key string) {
	body, err := h.platform.Get(r.Context(), key)
	if err != nil {
		refuse(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	// The caller sees a cut connection; there is nobody else to tell.
	_, _ = w.Write(body)
}

func (h *handler) instances(w http.ResponseWriter, r *http.Request) {
	listings, err := h.platform.Instances(r.Context())
	answer(w, storer.ListingPage{Instances: listings}, err)
}

func (h *handler) register(w http.ResponseWriter, r *http.Request) {
	var listing storer.Listing
	if !faker.ReadJSON(w, r, &listing) {
		return
	}
	h.platform.Register(listing)
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) faults(w http.ResponseWriter, _ *http.Request) {
	faker.WriteJSON(w, http.StatusOK, h.platform.Faults())
}

func (h *handler) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults storer.Faults
	if !faker.ReadJSON(w, r, &faults) {
		return
	}
	h.platform.SetFaults(faults)
	w.WriteHeader(http.StatusNoContent)
}

// answer writes the value, or the status that stands for the error.
func answer(w http.ResponseWriter, value any, err error) {
	if err != nil {
		refuse(w, err)
		return
	}
	faker.WriteJSON(w, http.StatusOK, value)
}

// answerEmpty writes 204, or the status that stands for the error.
func answerEmpty(w http.ResponseWriter, err error) {
	if err != nil {
		refuse(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// refuse writes the status that stands for the error. A request that has run
// or was never answered ends with its connection closed.
func refuse(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, storer.ErrConflict):
		faker.WriteProblem(w, http.StatusConflict, err.Error())
	case errors.Is(err, storer.ErrNotFound):
		faker.WriteProblem(w, http.StatusNotFound, err.Error())
	case errors.Is(err, errThrottled):
		faker.WriteProblem(w, http.StatusTooManyRequests, err.Error())
	case errors.Is(err, context.Canceled), errors.Is(err, storer.ErrInDoubt):
		faker.Abort()
	default:
		faker.WriteProblem(w, http.StatusServiceUnavailable, err.Error())
	}
}
