// Package faker owns what the stand-ins share in serving: JSON over HTTP,
// connections that go silent, and a listener with a graceful end. It does not
// own any stand-in's behaviour.
package faker

import (
	"encoding/json"
	"io"
	"net/http"
)

// MaxBodyBytes bounds a request's body, in bytes.
const MaxBodyBytes = 64 << 20

const contentTypeJSON = "application/json"

// Problem is the JSON body of an answer with an error status.
type Problem struct{ Error string }

// WriteJSON answers with the value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	// The caller sees a cut connection; there is nobody else to tell.
	_ = json.NewEncoder(w).Encode(value)
}

// WriteProblem answers with an error status and its text.
func WriteProblem(w http.ResponseWriter, status int, text string) {
	WriteJSON(w, status, Problem{Error: text})
}

// ReadJSON reads the request's whole body into the value and answers 400 if it
// cannot. It returns whether it could.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	body, ok := ReadBody(w, r)
	if !ok {
		return false
	}
	if err := json.Unmarshal(body, value); err != nil {
		WriteProblem(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// ReadBody reads the request's whole body and answers 400 if it cannot. It
// returns whether it could.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		WriteProblem(w, http.StatusBadRequest, err.Error())
		return nil, false
	}
	return body, true
}

// HeaderLeaving is set on a 503 by an endpoint that takes no new work.
const HeaderLeaving = "Wigeonstand-Leaving"

// WriteLeaving answers that the endpoint is leaving and did not run the request.
func WriteLeaving(w http.ResponseWriter) {
	w.Header().Set(HeaderLeaving, "true")
	WriteProblem(w, http.StatusServiceUnavailable, "the endpoint is leaving")
}

// Leaving is the body of PUT /leaving.
type Leaving struct{ Leaving bool }

// LeavingHandler returns the handler of PUT /leaving.
func LeavingHandler(set func(leaving bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var request Leaving
		if !ReadJSON(w, r, &request) {
			return
		}
		set(request.Leaving)
		w.WriteHeader(http.StatusNoContent)
	}
}

// Abort closes the connection without an answer. It does not return.
func Abort() { panic(http.ErrAbortHandler) }

// Hang waits until the caller goes away or the server ends, then aborts.
func Hang(r *http.Request) {
	<-r.Context().Done()
	Abort()
}

// Healthz answers 200.
func Healthz(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
