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

// The headers of the API.
const (
	// HeaderRequest carries the request's id on every answer.
	HeaderRequest = "Wigeonstand-Request"
	// HeaderTimeout carries the time that the caller waits, as a Go duration.
	HeaderTimeout = "Wigeonstand-Timeout"
	// HeaderKey carries the key of a call to a plain service.
	HeaderKey = "Wigeonstand-Key"
	// HeaderProgram names the program that a call to a plain service belongs to.
	HeaderProgram = "Wigeonstand-Program"
	// HeaderReplayed is "true" when a recorded answer was sent again.
	HeaderReplayed = "Wigeonstand-Replayed"
	// HeaderKind carries the kind of a refusal; it is absent from a service's own answer.
	HeaderKind = "Wigeonstand-Kind"
)

const contentJSON = "application/json"

// exchange is one request and its answer.
type exchange struct {
	receiver *Receiver
	writer   *statusWriter
	request  *http.Request
	id       string
	version  *compiler.Version
	business *compiler.Business
}

// statusWriter remembers whether the answer's header was written.
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

// Unwrap gives http.ResponseController the writer underneath.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// handler serves one operation and returns an error to be answered as a refusal.
type handler func(*exchange) error

// serve returns the handler with everything that all operations share.
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
		return answerer.New(answerer.Overloaded, "the instance serves %d requests already", r.maximumInFlight)
	}
	if err := x.setBodyDeadline(); err != nil {
		return err
	}
	if err := x.authenticate(); err != nil {
		return err
	}
	if !isCleanPath(x.request.URL.Path) {
		return answerer.New(answerer.BadRequest, "the path has empty or dotted segments")
	}
	return h(x)
}

// isCleanPath reports whether no segment would be rewritten on the way.
func isCleanPath(p string) bool {
	return path.Clean(p) == strings.TrimSuffix(p, "/") || p == "/"
}

// recoverPanic answers a panic as an internal failure.
func (x *exchange) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	x.receiver.log.Log(requestFailed, "Request", x.id, "Cause", cause, "Stack", string(debug.Stack()))
	if x.writer.headerWritten {
		panic(http.ErrAbortHandler)
	}
	x.writeError(answerer.New(answerer.Internal, "the request could not be served"))
}

// requestTimeout returns the time that the caller waits.
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

// do completes the command, carries it to its owner and returns the reply.
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
		return eris.Wrap(err, "encode answer")
	}
	return x.writeBody(status, contentJSON, body)
}

// writeBody writes the whole body. Without a content type none is sent, where
// net/http would guess one. A failed writeBody is not an error of the request:
// the caller is gone and nothing more can be told to it.
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

// setWriteDeadline gives the next write its own time.
func (x *exchange) setWriteDeadline() {
	control := http.NewResponseController(x.writer)
	err := control.SetWriteDeadline(time.Now().Add(x.receiver.writeTimeout))
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		x.receiver.log.Log(connectionFailed, "Request", x.id, "Cause", err)
	}
}
