// Package faker implements the HTTP server that the fakes of the engine, the
// platform and the service share: JSON requests and responses, graceful
// shutdown, and connections that can be made silent to simulate a network
// failure.
package faker

import (
	"encoding/json"
	"io"
	"net/http"
)

// MaxBodyBytes is the maximum size of a request body.
const MaxBodyBytes = 64 << 20

const contentTypeJSON = "application/json"

// Problem is the JSON body of an error response.
type Problem struct{ Error string }

// WriteJSON writes a response with the value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	// The status has been sent, so a write error cannot be reported to the client.
	_ = json.NewEncoder(w).Encode(value)
}

// WriteProblem writes an error response with the text.
func WriteProblem(w http.ResponseWriter, status int, text string) {
	WriteJSON(w, status, Problem{Error: text})
}

// ReadJSON decodes the request body into the value and reports whether it
// succeeded. If it fails, it responds with 400.
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

// ReadBody returns the request body and reports whether it could be read. If
// not, it responds with 400.
func ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		WriteProblem(w, http.StatusBadRequest, err.Error())
		return nil, false
	}
	return body, true
}

// HeaderLeaving is the header of a 503 response that marks the endpoint as
// leaving: it accepts no new requests.
const HeaderLeaving = "Wigeonstand-Leaving"

// WriteLeaving responds with 503 and HeaderLeaving to a request that was not
// executed because the endpoint is leaving.
func WriteLeaving(w http.ResponseWriter) {
	w.Header().Set(HeaderLeaving, "true")
	WriteProblem(w, http.StatusServiceUnavailable, "the endpoint is leaving")
}

// Leaving is the body of PUT /leaving.
type Leaving struct{ Leaving bool }

// LeavingHandler returns the handler of PUT /leaving, which calls set with the
// requested state.
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

// Abort aborts the handler and closes the connection without completing the
// response. It does not return.
func Abort() { panic(http.ErrAbortHandler) }

// Hang blocks until the client disconnects or the server closes the connection,
// then aborts.
func Hang(r *http.Request) {
	<-r.Context().Done()
	Abort()
}

// Healthz responds with 200.
func Healthz(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }
