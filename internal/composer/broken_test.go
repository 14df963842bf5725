package composer_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

const (
	eventStream = "Content-Type: text/event-stream"
	chunked     = "Transfer-Encoding: chunked"
	noChunks    = "Connection: close"
)

// stranger is a text of an error response that must not be in a stream.
const stranger = "no such thing"

// failuresAfterABreak are the responses to the resumption of a stream, none of which goes on with
// it.
func failuresAfterABreak(id string) map[string]string {
	withBody := func(status string, lines ...string) string {
		return standin.ResponseHead(id, status, append(lines, fmt.Sprint("Content-Length: ", len(stranger)))...) + "\r\n" + stranger
	}
	return map[string]string{
		"error":                  withBody("500 Internal Server Error"),
		"error as a stream":      withBody("500 Internal Server Error", eventStream),
		"error until the end":    standin.ResponseHead(id, "500 Internal Server Error", noChunks) + "\r\n" + stranger,
		"not found":              withBody("404 Not Found"),
		"gone":                   withBody("410 Gone"),
		"redirect":               withBody("302 Found", "Location: /"),
		"not run":                withBody("503 Service Unavailable", "Not-Executed: 1"),
		"gateway":                withBody("502 Bad Gateway"),
		"nothing":                "",
		"part of a head":         standin.ResponseHead(id, "200 OK", eventStream, chunked),
		"no head":                stranger + "\r\n\r\n",
		"no content":             standin.ResponseHead(id, "204 No Content") + "\r\n",
		"no content type":        withBody("200 OK"),
		"no type, no body":       standin.ResponseHead(id, "200 OK", noChunks) + "\r\n",
		"a text":                 withBody("200 OK", "Content-Type: text/plain"),
		"no events":              standin.ResponseHead(id, "200 OK", eventStream, noChunks) + "\r\n",
		"no length":              standin.ResponseHead(id, "200 OK", eventStream, "Content-Length: 0") + "\r\n",
		"a gap":                  standin.ResponseHead(id, "200 OK", eventStream, chunked) + "\r\n" + standin.Chunk(standin.Event(id, 4)) + "0\r\n\r\n",
		"another error unsigned": "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 13\r\n\r\n" + stranger,
		"unsigned":               "HTTP/1.1 200 OK\r\n" + eventStream + "\r\nContent-Length: 13\r\n\r\n" + stranger,
	}
}

// brokenStream begins a stream with two events and breaks off.
func brokenStream(id, framing, rest string) string {
	events := standin.Event(id, 1) + standin.Event(id, 2)
	if framing != chunked {
		return standin.ResponseHead(id, "200 OK", eventStream, noChunks) + "\r\n" + events + rest
	}
	text := standin.ResponseHead(id, "200 OK", eventStream, chunked) + "\r\n" + standin.Chunk(events)
	if rest != "" {
		text += standin.Chunk(rest)
	}
	return text
}

// A stream broke off after two events, and its resumption failed. Callers found the error in
// their streams, or streams that ended as if they were complete.
func TestFailureAfterABreakDoesNotEndTheStream(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1, 0)
	breaks := []struct{ name, framing, rest string }{
		{"between two events", chunked, ""},
		{"within an event", chunked, "id: 3\nda"},
		{"within an event, without chunks", noChunks, "id: 3\nda"},
	}
	var script atomic.Pointer[func(id string, resumeAfter int) string]
	f.engines[0].Script = func(id string, resumeAfter int) string { return (*script.Load())(id, resumeAfter) }
	for failure := range failuresAfterABreak("") {
		for _, b := range breaks {
			respond := func(id string, resumeAfter int) string {
				if resumeAfter == 0 {
					return brokenStream(id, b.framing, b.rest)
				}
				return failuresAfterABreak(id)[failure]
			}
			script.Store(&respond)
			for version, do := range map[string]func(standin.Call) standin.Reply{
				"old caller": func(c standin.Call) standin.Reply {
					c.Method, c.Host, c.Deadline, c.GracePeriod = http.MethodPost, standin.Host, 3*time.Second, time.Second
					return standin.DoHTTP10(t.Context(), f.instances[0].settings.CallerListen.String(), c)
				},
				"caller": func(c standin.Call) standin.Reply { return f.do(f.instances[0], c) },
			} {
				name := strings.ReplaceAll(strings.Join([]string{failure, b.name, version}, "/"), " ", "-")
				t.Run(name, func(t *testing.T) {
					reply := do(sessionCall(name, name))
					if reply.IsComplete && reply.Status == http.StatusOK {
						t.Errorf("the stream ended as if it were complete: %+v", reply)
					}
					// Callers of HTTP/1.0 may lose events when their connection is reset.
					if events := reply.Events(); version == "caller" || len(events) > 0 {
						if diff := cmp.Diff([]int{1, 2}, events); diff != "" {
							t.Errorf("%+v: %s", reply, diff)
						}
					}
					if strings.Contains(reply.Body, stranger) || strings.Contains(reply.Body, "HTTP/1.1") {
						t.Errorf("the failure is in the stream: %+v", reply)
					}
				})
			}
		}
	}
}

// A stream broke off within its third event, and the endpoint closed the connection of the resumption
// after its head. Callers got a stream of two events that ended as if it were complete.
func TestResumptionWithoutEventsDoesNotEndAStreamThatBrokeOffInAnEvent(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1, 0)
	framings := map[string]string{"chunks": chunked, "no-chunks": noChunks}
	f.engines[0].Script = func(id string, resumeAfter int) string {
		if resumeAfter == 0 {
			return brokenStream(id, framings[id], "id: 3\nda")
		}
		return standin.ResponseHead(id, "200 OK", eventStream, noChunks) + "\r\n"
	}
	for name := range framings {
		t.Run(name, func(t *testing.T) {
			if reply := f.do(f.instances[0], sessionCall(name, name)); reply.IsComplete && reply.Status == http.StatusOK {
				t.Errorf("the stream ended as if it were complete: %+v", reply)
			}
		})
	}
}

// An endpoint closed its connection within the head of its response. Callers got a success with an
// empty or short body, framed as whole.
func TestHeadThatBreaksOffIsNoResponse(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, 1, 1)
	const text = "the whole answer"
	for kind, response := range map[string]func(id string) string{
		"plain": func(id string) string {
			return standin.ResponseHead(id, "200 OK", fmt.Sprint("Content-Length: ", len(text))) + "\r\n"
		},
		"plain with chunks": func(id string) string {
			return standin.ResponseHead(id, "200 OK", chunked) + "\r\n"
		},
		"stream": func(id string) string {
			return standin.ResponseHead(id, "200 OK", eventStream, chunked) + "\r\n"
		},
		"stream without chunks": func(id string) string {
			return standin.ResponseHead(id, "200 OK", eventStream, noChunks) + "\r\n"
		},
	} {
		t.Run(kind, func(t *testing.T) {
			endpoint := f.services[0]
			path := standin.PathLookup
			if strings.HasPrefix(kind, "stream") {
				endpoint, path = f.engines[0], standin.PathSession
			}
			var cut atomic.Int64
			endpoint.Script = func(id string, _ int) string { return response(id)[:cut.Load()] }
			for n := range len(response("cut-000")) {
				cut.Store(int64(n))
				c := standin.Call{ID: fmt.Sprintf("cut-%03d", n), Path: path + "x", Body: "in", Program: fmt.Sprint("p", kind, n), Budget: 1000, MaxTokens: 100}
				if path == standin.PathLookup {
					c = standin.Call{ID: c.ID, Path: c.Path}
				}
				if reply := f.do(f.instances[0], c); reply.Status < http.StatusInternalServerError && reply.Err == nil {
					t.Errorf("a head cut after %d bytes gave %+v", n, reply)
				}
			}
		})
	}
}
