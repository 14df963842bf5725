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

// told is what a failure says, without its cause.
func told(err error) dispatcher.Failure {
	var failure *dispatcher.Failure
	if !errors.As(err, &failure) {
		return dispatcher.Failure{}
	}
	return *failure
}

var withoutCause = cmpopts.IgnoreFields(dispatcher.Failure{}, "Cause")

func TestGenerateTellsHowAnAnswerEnded(t *testing.T) {
	usage := generator.Usage{Prompt: 3, Generated: 2}
	whole := words("r1", 0, "a ", "b")
	first := event(generator.Chunk{Request: "r1", Text: "a ", Tokens: 1})
	gaveUp := generator.Chunk{Request: "r1", Offset: 1, Done: true, Error: "out of memory", Usage: &usage}
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    dispatcher.Failure
	}{
		{"Whole", sends(whole), dispatcher.Failure{}},
		{"NothingBeforeTheEnd", sends(""), dispatcher.Failure{Reason: dispatcher.Truncated, Status: 200}},
		{"EndsWithoutLastChunk", sends(first), dispatcher.Failure{Reason: dispatcher.Truncated, Status: 200, Offset: 1, Text: "a "}},
		{
			"ConnectionCut",
			func(w http.ResponseWriter, _ *http.Request) {
				stream(w, first)
				panic(http.ErrAbortHandler)
			},
			dispatcher.Failure{Reason: dispatcher.Truncated, Status: 200, Offset: 1, Text: "a "},
		},
		{"LastEventNotClosed", sends(strings.TrimSuffix(whole, "\n")), dispatcher.Failure{Reason: dispatcher.Truncated, Status: 200, Offset: 2, Text: "a b"}},
		{"ConnectionCutBeforeAnAnswer", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, dispatcher.Failure{Reason: dispatcher.Truncated}},
		{"ChunkMissing", sends(first + event(generator.Chunk{Request: "r1", Offset: 2, Text: "c", Tokens: 1})), dispatcher.Failure{Reason: dispatcher.Truncated, Offset: 1, Text: "a "}},
		{"LastChunksMissing", sends(first + event(generator.Chunk{Request: "r1", Offset: 2, Done: true, Usage: &usage})), dispatcher.Failure{Reason: dispatcher.Truncated, Offset: 1, Text: "a ", Usage: usage}},
		{"ChunkTwice", sends(first + first), dispatcher.Failure{Reason: dispatcher.Failed, Offset: 1, Text: "a "}},
		{"ChunkOfAnotherRequest", sends(first + words("r2", 1, "x ", "y")), dispatcher.Failure{Reason: dispatcher.Crossed, Offset: 1, Text: "a "}},
		{"EngineGaveUp", sends(first + event(gaveUp)), dispatcher.Failure{Reason: dispatcher.Failed, Offset: 1, Text: "a ", Usage: usage}},
		{"NoUsage", sends(first + event(generator.Chunk{Request: "r1", Offset: 1, Done: true})), dispatcher.Failure{Reason: dispatcher.Failed, Offset: 1, Text: "a "}},
		{"NotAChunk", sends("data: []\n\n"), dispatcher.Failure{Reason: dispatcher.Failed}},
		{"EventTooLarge", sends("data: " + strings.Repeat("x", 2<<20) + "\n\n"), dispatcher.Failure{Reason: dispatcher.Failed}},
		{"NotAStream", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }, dispatcher.Failure{Reason: dispatcher.Failed}},
		{
			"Leaving",
			leaves,
			dispatcher.Failure{Reason: dispatcher.Failed, Status: 503, Leaving: true, RetryAfter: 3 * time.Second},
		},
		{"Silent", func(_ http.ResponseWriter, r *http.Request) { silence(r) }, dispatcher.Failure{Reason: dispatcher.Silent}},
		{
			"SilentBetweenChunks",
			func(w http.ResponseWriter, r *http.Request) {
				stream(w, first)
				silence(r)
			},
			dispatcher.Failure{Reason: dispatcher.Silent, Status: 200, Offset: 1, Text: "a "},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newEndpoint(t, test.handler)
				text, got, err := d.Generate(t.Context(), engine, request, nil)
				want := test.want
				if want.Reason == "" {
					want.Text = "a b"
					if diff := cmp.Diff(usage, got); diff != "" || err != nil {
						t.Errorf("error %v, usage %s", err, diff)
					}
				} else {
					want.Endpoint = engine.Name
					if diff := cmp.Diff(want, told(err), withoutCause); diff != "" {
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

func TestGenerateIsCutAtAnyByteAndResumed(t *testing.T) {
	all := []string{"one ", "two ", "three ", "four"}
	whole := strings.Join(all, "")
	for cut := range len(words("r1", 0, all...)) {
		synctest.Test(t, func(t *testing.T) {
			resumed := false
			d := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
				asked := decodeRequest(t, r)
				text := words(asked.Request, asked.Offset, all...)
				if resumed {
					stream(w, text)
					return
				}
				resumed = true
				stream(w, text[:cut])
			})
			text, _, err := d.Generate(t.Context(), engine, request, nil)
			failure := told(err)
			if diff := cmp.Diff(dispatcher.Truncated, failure.Reason); diff != "" {
				t.Fatalf("cut at %d: %s", cut, diff)
			}
			if diff := cmp.Diff(strings.Join(all[:failure.Offset], ""), text); diff != "" {
				t.Errorf("cut at %d: %s", cut, diff)
			}
			again := request
			again.Request, again.Offset = "r2", failure.Offset
			rest, _, err := d.Generate(t.Context(), engine, again, nil)
			if diff := cmp.Diff(whole, text+rest); diff != "" || err != nil {
				t.Errorf("cut at %d: error %v: %s", cut, err, diff)
			}
		})
	}
}

func TestGenerateDoesNotTakeASlowCallerForASilentEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
			stream(w, event(generator.Chunk{Request: "r1", Text: "a ", Tokens: 1}))
			time.Sleep(time.Second / 2)
			stream(w, words("r1", 1, "a ", "b"))
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

func TestGenerateStopsWhenTheCallerIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hungUp := make(chan struct{})
		d := newEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
			stream(w, event(generator.Chunk{Request: "r1", Text: "a", Tokens: 1}))
			silence(r)
			close(hungUp)
		})
		gone := sinkFunc(func(generator.Chunk) error { return errors.New("broken pipe") })
		_, _, err := d.Generate(t.Context(), engine, request, gone)
		if diff := cmp.Diff(dispatcher.Canceled, dispatcher.ReasonOf(err)); diff != "" {
			t.Error(diff)
		}
		<-hungUp
	})
}

func TestSilentConnectionDoesNotCondemnTheEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var served atomic.Int64
		d := newEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
			before := served.Add(1) - 1
			// The pooled connection answers once and goes silent for good; a
			// connection of its own says that it will be closed.
			if before > 0 && !r.Close {
				silence(r)
			}
		}, dispatcher.WithStreamTimeouts(time.Second, time.Second))
		if err := d.Ping(t.Context(), engine); err != nil {
			t.Fatal(err)
		}
		failure := told(d.Ping(t.Context(), engine))
		want := dispatcher.Failure{Reason: dispatcher.Silent, Endpoint: engine.Name, Reused: true}
		if diff := cmp.Diff(want, failure, withoutCause); diff != "" {
			t.Error(diff)
		}
		ctx := dispatcher.WithFreshConnection(t.Context())
		if err := d.Ping(ctx, engine); err != nil {
			t.Error(err)
		}
	})
}

func TestOrderWithAnOldFenceIsToldApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newEndpoint(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) })
		_, err := d.SendOrder(t.Context(), engine, generator.Order{ID: "o1", Fence: 1})
		if !errors.Is(err, dispatcher.ErrFenced) {
			t.Error(err)
		}
	})
}

func TestLeavingIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var left []string
		d := newEndpoint(t, leaves, dispatcher.WithLeavingHandler(func(name string) { left = append(left, name) }))
		_, _, generateErr := d.Generate(t.Context(), engine, request, nil)
		_, callErr := d.Call(t.Context(), docket, engine, lodge)
		pingErr := d.Ping(t.Context(), engine)
		if diff := cmp.Diff([]string{"e1", "e1", "e1"}, left); diff != "" {
			t.Errorf("%v, %v, %v: %s", generateErr, callErr, pingErr, diff)
		}
	})
}
