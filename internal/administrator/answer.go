package administrator

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/loader"
	"github.com/wigeonstand/wigeonstand/internal/publisher"
)

// decode decodes a request body, which must be one JSON value without unknown
// fields.
func decode(r *http.Request, into any) error {
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return bodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return answerer.New(answerer.BadRequest, "the request body holds more than one JSON value")
	}
	return nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return answerer.New(answerer.TooLarge, "the request body is larger than %d bytes", tooLarge.Limit)
	}
	return answerer.Wrap(answerer.BadRequest, err, "invalid request body: %v", err)
}

// queryInt parses a non-negative query parameter; an absent one is zero.
func queryInt(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, nil
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < 0 {
		return 0, answerer.New(answerer.BadRequest, "%s must be a non-negative integer, not %q", name, text)
	}
	return value, nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A client that loses the response sends the request again with the same EditID.
	_, _ = w.Write(body)
}

// refuse responds with an error, counts it and logs it.
func (a *Administrator) refuse(w http.ResponseWriter, r *http.Request, id string, err error) {
	refusal := answerer.As(err)
	response := refusal.Response()
	a.meter.Refusals.WithLabelValues(string(response.Kind), string(response.Ran)).Inc()
	a.log.Log(EventRequestRefused, "Request", id, "Method", r.Method, "Path", r.URL.Path, "Kind", response.Kind, "Error", err)
	if response.RetryAfter > 0 {
		seconds := int(math.Ceil(response.RetryAfter.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, response.Status, newErrorView(id, refusal, response))
}

func newErrorView(id string, refusal *answerer.Error, response answerer.Response) ErrorView {
	view := ErrorView{Kind: response.Kind, Ran: response.Ran, Detail: refusal.Detail, Request: id}
	if response.RetryAfter > 0 {
		view.RetryAfter = response.RetryAfter.Round(time.Millisecond).String()
	}
	if response.Kind == answerer.DocumentInvalid {
		for _, fault := range loader.AsErrors(refusal.Cause) {
			view.Errors = append(view.Errors, DocumentErrorView{
				File: fault.File, Line: fault.Line, Column: fault.Column, Field: fault.Field, Message: fault.Message,
			})
		}
	}
	for _, c := range publisher.Conflicts(refusal) {
		view.Conflicts = append(view.Conflicts, ConflictView(*c))
	}
	return view
}
