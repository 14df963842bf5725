package receiver

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"path"
	"runtime/debug"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

// Header names of the API.
const (
	// HeaderRequest is the request id of every response.
	HeaderRequest = "Wigeonstand-Request"
	// HeaderTimeout is the caller's timeout as a Go duration.
	HeaderTimeout = "Wigeonstand-Timeout"
	// HeaderKey is the idempotency key of a call to a plain service.
	HeaderKey = "Wigeonstand-Key"
	// HeaderProgram is the id of the program that a call to a plain service belongs to.
	HeaderProgram = "Wigeonstand-Program"
	// HeaderReplayed is "true" if the response was recorded for an earlier request.
	HeaderReplayed = "Wigeonstand-Replayed"
	// HeaderKind is the kind of an error; it is absent from the response of a service.
	HeaderKind = "Wigeonstand-Kind"
)

const contentJSON = "application/json"

// exchange is the state of one request and its response.
type exchange struct {
	receiver *Receiver
	writer   *statusWriter
	request  *http.Request
	id       string
	version  *compiler.Version
	business *compiler.Business
}

// statusWriter records whether the response header has been written.
type statusWriter struct {
	http.ResponseWriter
	headerWritten bool
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	w.headerWritten = true
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *statusWriter) Write(body []byte) (int, error) {
	w.headerWritten = true
	return w.ResponseWriter.Write(body)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// handler serves one operation. A returned error is written as an error response.
type handler func(*exchange) error

// serve wraps h with limits, authentication, error responses, panic recovery and
// the request counter of the operation.
func (r *Receiver) serve(operation string, h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		x := r.newExchange(w, request)
		defer x.recoverPanic()
		if err := x.handle(h); err != nil {
			x.writeError(err)
			return
		}
		r.meter.Requests.WithLabelValues(operation).Inc()
	}
}

func (r *Receiver) newExchange(w http.ResponseWriter, request *http.Request) *exchange {
	x := &exchange{
		receiver: r,
		writer:   &statusWriter{ResponseWriter: w},
		request:  request,
		id:       ulid.Make().String(),
	}
	w.Header().Set(HeaderRequest, x.id)
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("X-Content-Type-Options", "nosniff")
	if r.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	return x
}

func (x *exchange) handle(h handler) error {
	r := x.receiver
	defer r.inFlight.Add(-1)
	if r.inFlight.Add(1) > r.maximumInFlight {
		return answerer.New(answerer.Overloaded, "the instance is at its limit of %d requests in flight", r.maximumInFlight)
	}
	if err := x.setBodyDeadline(); err != nil {
		return err
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	if !isCleanPath(x.request.URL.Path) {
		return answerer.New(answerer.BadRequest, "the path has empty, \".\" or \"..\" segments")
	}
	return h(x)
}

// isCleanPath reports whether p has no segments that a proxy or multiplexer would
// rewrite, such as "..".
func isCleanPath(p string) bool {
	return path.Clean(p) == strings.TrimSuffix(p, "/") || p == "/"
}

// recoverPanic logs a panic and responds with an internal error. If the response
// header has been written it aborts the connection.
func (x *exchange) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	x.receiver.log.Log(requestFailed, "Request", x.id, "Cause", cause, "Stack", string(debug.Stack()))
	if x.writer.headerWritten {
		panic(http.ErrAbortHandler)
	}
	x.writeError(answerer.New(answerer.Internal, "the request failed with an internal error"))
}

// requestTimeout returns the caller's timeout, limited to the maximum.
func (x *exchange) requestTimeout() (time.Duration, error) {
	text := x.request.Header.Get(HeaderTimeout)
	if text == "" {
		return x.receiver.timeout, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return 0, answerer.New(answerer.BadRequest, "header %s is not a positive duration such as 1.5s", HeaderTimeout)
	}
	return min(timeout, x.receiver.maximumTimeout), nil
}

// do fills in the common fields of the command, runs it and returns its reply.
func (x *exchange) do(command requester.Command, sink requester.Sink) (requester.Reply, error) {
	timeout, err := x.requestTimeout()
	if err != nil {
		return requester.Reply{}, err
	}
	command.Request = x.id
	command.Business = x.business.Name
	command.Timeout = timeout
	ctx, cancel := context.WithTimeout(x.request.Context(), timeout+replyGracePeriod)
	defer cancel()
	return x.receiver.doer.Do(ctx, command, sink)
}

// writeJSON writes the value as JSON.
func (x *exchange) writeJSON(status int, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode response")
	}
	return x.writeBody(status, contentJSON, body)
}

// writeBody writes the status and the body. An empty contentType suppresses the
// content type that net/http would detect. A failed write is logged and not
// returned, since no other response can be sent on the connection.
func (x *exchange) writeBody(status int, contentType string, body []byte) error {
	x.setWriteDeadline()
	header := x.writer.Header()
	header["Content-Type"] = nil
	if contentType != "" {
		header.Set("Content-Type", contentType)
	}
	x.writer.WriteHeader(status)
	if !statusAllowsBody(status) {
		return nil
	}
	if _, err := x.writer.Write(body); err != nil {
		x.receiver.log.Log(connectionFailed, "Request", x.id, "Cause", err)
	}
	return nil
}

func statusAllowsBody(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// setWriteDeadline starts a new write timeout for the next write.
func (x *exchange) setWriteDeadline() {
	control := http.NewResponseController(x.writer)
	err := control.SetWriteDeadline(time.Now().Add(x.receiver.writeTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		x.receiver.log.Log(connectionFailed, "Request", x.id, "Cause", err)
	}
}
