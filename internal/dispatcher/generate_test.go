package dispatcher_test

import (
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/wigeonstand/wigeonstand/internal/dispatcher"
	"github.com/wigeonstand/wigeonstand/internal/generator"
)

// failureOf returns the Failure that err wraps, or a zero Failure.
func failureOf(err error) dispatcher.Failure {
	var failure *dispatcher.Failure
	if !errors.As(err, &failure) {
		return dispatcher.Failure{}
	}
	return *failure
}

var ignoreCause = cmpopts.IgnoreFields(dispatcher.Failure{}, "Cause")

func TestGenerateReportsHowStreamEnded(t *testing.T) {
	usage := generator.Usage{Prompt: 3, Generated: 2}
	complete := formatStream("r1", 0, "a ", "b")
	first := formatEvent(generator.Chunk{Request: "r1", Text: "a ", Tokens: 1})
	errorChunk := generator.Chunk{Request: "r1", Offset: 1, Done: true, Error: "out of memory", Usage: &usage}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    dispatcher.Failure
	}{
		{"Complete", streamHandler(complete), dispatcher.Failure{}},
		{"EmptyStream", streamHandler(""), dispatcher.Failure{Reason: dispatcher.Truncated, Status: 200}},
		{"NoLastChunk", streamHandler(first), dispatcher.Failure{Reason: dispatcher.Truncated, Status: 200, Offset: 1, Text: "a "}},
		{
			"ConnectionClosedInStream",
			func(w http.ResponseWriter, _ *http.Request) {
				writeStream(w, first)
				panic(http.ErrAbortHandler)
			},
			dispatcher.Failure{Reason: dispatcher.Truncated, Status: 200, Offset: 1, Text: "a "},
		},
		{"LastEventNotTerminated", streamHandler(strings.TrimSuffix(complete, "\n")), dispatcher.Failure{Reason: dispatcher.Truncated, Status: 200, Offset: 2, Text: "a b"}},
		{"ConnectionClosedBeforeResponse", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, dispatcher.Failure{Reason: dispatcher.Truncated}},
		{"ChunkMissing", streamHandler(first + formatEvent(generator.Chunk{Request: "r1", Offset: 2, Text: "c", Tokens: 1})), dispatcher.Failure{Reason: dispatcher.Truncated, Offset: 1, Text: "a "}},
		{"LastChunksMissing", streamHandler(first + formatEvent(generator.Chunk{Request: "r1", Offset: 2, Done: true, Usage: &usage})), dispatcher.Failure{Reason: dispatcher.Truncated, Offset: 1, Text: "a ", Usage: usage}},
		{"DuplicateChunk", streamHandler(first + first), dispatcher.Failure{Reason: dispatcher.Failed, Offset: 1, Text: "a "}},
		{"ChunkOfAnotherRequest", streamHandler(first + formatStream("r2", 1, "x ", "y")), dispatcher.Failure{Reason: dispatcher.Crossed, Offset: 1, Text: "a "}},
		{"EngineError", streamHandler(first + formatEvent(errorChunk)), dispatcher.Failure{Reason: dispatcher.Failed, Offset: 1, Text: "a ", Usage: usage}},
		{"NoUsage", streamHandler(first + formatEvent(generator.Chunk{Request: "r1", Offset: 1, Done: true})), dispatcher.Failure{Reason: dispatcher.Failed, Offset: 1, Text: "a "}},
		{"InvalidChunk", streamHandler("data: []\n\n"), dispatcher.Failure{Reason: dispatcher.Failed}},
		{"EventTooLarge", streamHandler("data: " + strings.Repeat("x", 2<<20) + "\n\n"), dispatcher.Failure{Reason: dispatcher.Failed}},
		{"WrongContentType", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }, dispatcher.Failure{Reason: dispatcher.Failed}},
		{
			"Leaving",
			refuseAsLeaving,
			dispatcher.Failure{Reason: dispatcher.Failed, Status: 503, Leaving: true, RetryAfter: 3 * time.Second},
		},
		{"Silent", func(_ http.ResponseWriter, r *http.Request) { awaitDisconnect(r) }, dispatcher.Failure{Reason: dispatcher.Silent}},
		{
			"SilentBetweenChunks",
			func(w http.ResponseWriter, r *http.Request) {
				writeStream(w, first)
				awaitDisconnect(r)
			},
			dispatcher.Failure{Reason: dispatcher.Silent, Status: 200, Offset: 1, Text: "a "},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newDispatcher(t, test.handler)
				text, got, err := d.Generate(t.Context(), engine, request, nil)
				want := test.want
				if want.Reason == "" {
					want.Text = "a b"
					if diff := cmp.Diff(usage, got); diff != "" || err != nil {
						t.Errorf("error %v, usage %s", err, diff)
					}
				} else {
					want.Endpoint = engine.Name
					if diff := cmp.Diff(want, failureOf(err), ignoreCause); diff != "" {
						t.Errorf("%v: %s", err, diff)
					}
				}
				if diff := cmp.Diff(want.Text, text); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestGenerateResumesAfterTruncationAtAnyByte(t *testing.T) {
	words := []string{"one ", "two ", "three ", "four"}
	complete := strings.Join(words, "")
	for cut := range len(formatStream("r1", 0, words...)) {
		synctest.Test(t, func(t *testing.T) {
			resumed := false
			d := newDispatcher(t, func(w http.ResponseWriter, r *http.Request) {
				received := decodeRequest(t, r)
				text := formatStream(received.Request, received.Offset, words...)
				if resumed {
					writeStream(w, text)
					return
				}
				resumed = true
				writeStream(w, text[:cut])
			})
			text, _, err := d.Generate(t.Context(), engine, request, nil)
			failure := failureOf(err)
			if diff := cmp.Diff(dispatcher.Truncated, failure.Reason); diff != "" {
				t.Fatalf("cut at %d: %s", cut, diff)
			}
			if diff := cmp.Diff(strings.Join(words[:failure.Offset], ""), text); diff != "" {
				t.Errorf("cut at %d: %s", cut, diff)
			}
			retry := request
			retry.Request, retry.Offset = "r2", failure.Offset
			rest, _, err := d.Generate(t.Context(), engine, retry, nil)
			if diff := cmp.Diff(complete, text+rest); diff != "" || err != nil {
				t.Errorf("cut at %d: error %v: %s", cut, err, diff)
			}
		})
	}
}

func TestGenerateDoesNotTimeOutOnSlowSink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(t, func(w http.ResponseWriter, _ *http.Request) {
			writeStream(w, formatEvent(generator.Chunk{Request: "r1", Text: "a ", Tokens: 1}))
			time.Sleep(time.Second / 2)
			writeStream(w, formatStream("r1", 1, "a ", "b"))
		}, dispatcher.WithStreamTimeouts(time.Second, time.Second))
		slow := sinkFunc(func(generator.Chunk) error {
			time.Sleep(time.Minute)
			return nil
		})
		text, _, err := d.Generate(t.Context(), engine, request, slow)
		if diff := cmp.Diff("a b", text); diff != "" || err != nil {
			t.Errorf("error %v: %s", err, diff)
		}
	})
}

func TestGenerateCancelsRequestWhenSinkFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disconnected := make(chan struct{})
		d := newDispatcher(t, func(w http.ResponseWriter, r *http.Request) {
			writeStream(w, formatEvent(generator.Chunk{Request: "r1", Text: "a", Tokens: 1}))
			awaitDisconnect(r)
			close(disconnected)
		})
		failing := sinkFunc(func(generator.Chunk) error { return errors.New("broken pipe") })
		_, _, err := d.Generate(t.Context(), engine, request, failing)
		if diff := cmp.Diff(dispatcher.Canceled, dispatcher.ReasonOf(err)); diff != "" {
			t.Error(diff)
		}
		<-disconnected
	})
}

func TestFreshConnectionWorksAfterSilentPooledConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var served atomic.Int64
		d := newDispatcher(t, func(_ http.ResponseWriter, r *http.Request) {
			earlier := served.Add(1) - 1
			// The pooled connection gets one response and none after it. Requests
			// on a fresh connection have r.Close set.
			if earlier > 0 && !r.Close {
				awaitDisconnect(r)
			}
		}, dispatcher.WithStreamTimeouts(time.Second, time.Second))
		if err := d.Ping(t.Context(), engine); err != nil {
			t.Fatal(err)
		}
		failure := failureOf(d.Ping(t.Context(), engine))
		want := dispatcher.Failure{Reason: dispatcher.Silent, Endpoint: engine.Name, Reused: true}
		if diff := cmp.Diff(want, failure, ignoreCause); diff != "" {
			t.Error(diff)
		}
		ctx := dispatcher.WithFreshConnection(t.Context())
		if err := d.Ping(ctx, engine); err != nil {
			t.Error(err)
		}
	})
}

func TestOrderWithStaleFenceReturnsErrFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) })
		_, err := d.SendOrder(t.Context(), engine, generator.Order{ID: "o1", Fence: 1})
		if !errors.Is(err, dispatcher.ErrFenced) {
			t.Error(err)
		}
	})
}

func TestLeavingHandlerIsCalledForEveryRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var leaving []string
		d := newDispatcher(t, refuseAsLeaving, dispatcher.WithLeavingHandler(func(name string) { leaving = append(leaving, name) }))
		_, _, generateErr := d.Generate(t.Context(), engine, request, nil)
		_, callErr := d.Call(t.Context(), docketService, engine, lodgeCall)
		pingErr := d.Ping(t.Context(), engine)
		if diff := cmp.Diff([]string{"e1", "e1", "e1"}, leaving); diff != "" {
			t.Errorf("%v, %v, %v: %s", generateErr, callErr, pingErr, diff)
		}
	})
}
