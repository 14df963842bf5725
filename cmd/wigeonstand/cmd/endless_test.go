package cmd_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/wigeonstand/wigeonstand/internal/fakeplatform"
	"github.com/wigeonstand/wigeonstand/platform/standin"
)

const (
	pathBegun  = standin.PathSession + standin.EndlessBegun + "/"
	pathAtOnce = standin.PathSession + "at-once/"
	pathKept   = standin.PathRetained + standin.EndlessBegun + "/"
	pathPlain  = standin.PathLookup + "endless/"
)

// requestEndless opens count connections and sends a request for the way on each of them.
func (c *crowd) requestEndless(path, way string, count int) {
	method := http.MethodPost
	if path == pathPlain {
		method = http.MethodGet
	}
	c.join(callerPort, count, func(w io.Writer) error {
		program := fmt.Sprintf("Program-Id: p-%d\r\nProgram-Deadline-Ms: 10000", attemptCount.Add(1))
		if method == http.MethodGet {
			return writeAll(w, head(method, path+way), "\r\n")
		}
		return writeAll(w, head(method, path+way, program, "Content-Length: 2"), "\r\nin")
	})
}

// Guards against a process that ends by its memory because endpoints send bytes that are no answer without
// end, in heads, bodies and streams that have begun (issue 57). The callers read nothing, so that what the process
// keeps is all there is.
func TestEndlessResponsesOfEndpoints(t *testing.T) {
	const callers = 96
	paths := []string{pathAtOnce, pathBegun, pathKept, pathPlain}
	groups := map[string][]string{
		"heads":   {"value", "fields", "interim", "trailers"},
		"framing": {"extension", "chunk-size", "plain", "long-length"},
		"events":  {"line", "event", "comments", "newlines", "events"},
	}
	for _, ways := range groups {
		groups["all"] = append(groups["all"], ways...)
	}
	for name, ways := range groups {
		t.Run(name, func(t *testing.T) {
			endure(t, func(c *crowd) {
				for _, path := range paths {
					for _, way := range ways {
						c.requestEndless(path, way, 1+callers/len(paths)/len(ways))
					}
				}
			})
		})
	}
}

// Guards against the same by responses of the store.
func TestEndlessResponsesOfTheStore(t *testing.T) {
	type way struct{ begin, repeated string }
	for name, ways := range map[string][]way{
		"heads": {
			{"HTTP/1.1 200 OK\r\nA: ", "x"},
			{"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
			{"HTTP/1.1 102 Processing\r\na: b", "\r\n\r\nHTTP/1.1 102 Processing\r\na: b"},
		},
		"bodies": {
			{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + standin.Chunk(`{"rows": [`), standin.Chunk(`{"value": ""},`)},
			{"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000\r\n\r\n", " "},
			{"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", " "},
		},
		"failures": {
			{"HTTP/1.1 503 X\r\nConnection: close\r\n\r\n", " "},
			{"HTTP/1.1 500 X\r\nTransfer-Encoding: chunked\r\n\r\n", standin.Chunk("x")},
		},
	} {
		t.Run(name, func(t *testing.T) {
			rows := fakeplatform.NewRows(1)
			if err := standin.WriteConfiguration(rows, 1); err != nil {
				t.Fatal(err)
			}
			var isEndless atomic.Bool
			var responses atomic.Int64
			sound := standin.NewStore(rows.For("entry-1"))
			store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
				if !isEndless.Load() {
					sound.ServeHTTP(w, request)
					return
				}
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return // The process has closed the connection.
				}
				defer func() { _ = conn.Close() }() // It has no end of its own.
				way := ways[responses.Add(1)%int64(len(ways))]
				if _, err := io.WriteString(conn, way.begin); err == nil {
					_ = endless(conn, strings.Repeat(way.repeated, 1+16<<10/len(way.repeated))) // Until the process closes it.
				}
			}))
			t.Cleanup(store.Close)
			p := startCrowdProcess(t, rows, netip.MustParseAddrPort(store.Listener.Addr().String()))
			endureAt(t, p, func(c *crowd) {
				isEndless.Store(true)
				// Turns whose budgets are in the store.
				c.join(callerPort, 48, func(w io.Writer) error {
					program := fmt.Sprintf("Program-Id: p-%d\r\nProgram-Deadline-Ms: 10000\r\nToken-Budget: 1000\r\nToken-Usage: 10,100", attemptCount.Add(1))
					return writeAll(w, head(http.MethodPost, pathAtOnce+"plain", program, "Content-Length: 2"), "\r\nin")
				})
			})
		})
	}
}
