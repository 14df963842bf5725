package receiver_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/oklog/ulid/v2"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/generator"
	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/receiver"
	"github.com/wigeonstand/wigeonstand/internal/requester"
)

func TestOperationsSendTheirCommands(t *testing.T) {
	key := map[string]string{"Wigeonstand-Key": "k1", "Wigeonstand-Program": "p1", "Content-Type": "text/x"}
	tests := []struct {
		request testRequest
		want    requester.Command
		status  int
		body    string
	}{
		{
			testRequest{method: "POST", path: "/v1/programs/p1/turns", body: `{"Number":2,"Key":"k","Input":"hi","MaxTokens":3,"Chain":"c"}`},
			requester.Command{Turn: &requester.Turn{Program: "p1", Number: 2, Key: "k", Input: "hi", MaxTokens: 3, Chain: "c"}},
			http.StatusOK,
			`"Text":"a b"`,
		},
		{
			testRequest{method: "DELETE", path: "/v1/programs/p1.c2"},
			requester.Command{End: &requester.End{Program: "p1.c2", Reason: "EndedByCaller"}},
			http.StatusOK,
			`"Reason":"EndedByCaller"`,
		},
		{
			testRequest{method: "GET", path: "/v1/programs/p1/history?After=7"},
			requester.Command{History: &requester.History{Program: "p1", After: 7}},
			http.StatusOK,
			`"Program":"p1"`,
		},
		{
			testRequest{method: "GET", path: "/v1/programs/p1/explanation"},
			requester.Command{Explain: &requester.Explain{Program: "p1"}},
			http.StatusOK,
			`"Program":"p1"`,
		},
		{
			testRequest{method: "GET", path: "/v1/outcomes/k%2F1"},
			requester.Command{Outcome: &requester.Outcome{Key: "k/1"}},
			http.StatusOK,
			`"State":"Absent"`,
		},
		{
			testRequest{method: "PUT", path: "/v1/services/fees/a%2Fb/c?x=1&y=%20", body: "raw", header: key},
			requester.Command{Call: &requester.Call{
				Service: "fees", Key: "k1", Method: "PUT", Path: "/a%2Fb/c?x=1&y=%20", ContentType: "text/x", Body: []byte("raw"), Program: "p1",
			}},
			http.StatusAccepted,
			`ok`,
		},
		{
			testRequest{method: "GET", path: "/v1/services/lookup"},
			requester.Command{Call: &requester.Call{Service: "lookup", Method: "GET", Path: "/", ContentType: "application/json"}},
			http.StatusAccepted,
			`ok`,
		},
	}
	for _, test := range tests {
		var got requester.Command
		r := newReceiver(func(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
			got = command
			return replyToAll(ctx, command, sink)
		})
		recorder := perform(r, test.request)
		test.want.Business = "laulukaar"
		test.want.Timeout = time.Minute
		test.want.Request = recorder.Header().Get("Wigeonstand-Request")
		if diff := cmp.Diff(test.want, got, cmpopts.EquateEmpty()); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(test.status, recorder.Code); diff != "" || !strings.Contains(recorder.Body.String(), test.body) {
			t.Errorf("%s: %s", recorder.Body, diff)
		}
		if _, err := ulid.ParseStrict(test.want.Request); err != nil {
			t.Error(err)
		}
	}
}

func TestServiceResponseIsForwarded(t *testing.T) {
	recorder := perform(newReceiver(replyToAll), testRequest{
		method: "POST", path: "/v1/services/fees/post", header: map[string]string{"Wigeonstand-Key": "k1"},
	})
	header := recorder.Header()
	got := []string{header.Get("Content-Type"), header.Get("Wigeonstand-Key"), header.Get("Wigeonstand-Replayed"), header.Get("Wigeonstand-Kind")}
	if diff := cmp.Diff([]string{"text/plain", "k1", "true", ""}, got); diff != "" {
		t.Error(diff)
	}
}

func TestOpenChoosesTheProgramID(t *testing.T) {
	open := func(key, body string) string {
		var program string
		r := newReceiver(func(ctx context.Context, command requester.Command, sink requester.Sink) (requester.Reply, error) {
			program = command.Open.Program
			return replyToAll(ctx, command, sink)
		})
		recorder := perform(r, testRequest{method: "POST", path: "/v1/programs", body: body, header: map[string]string{"Authorization": "Bearer " + key}})
		if diff := cmp.Diff(http.StatusCreated, recorder.Code); diff != "" {
			t.Errorf("%s: %s", recorder.Body, diff)
		}
		return program
	}
	root := open("key", `{"Agent":"host"}`)
	if _, err := ulid.ParseStrict(strings.ToUpper(root)); err != nil || root != strings.ToLower(root) {
		t.Errorf("root %q: %v", root, err)
	}
	child := open("key", `{"Agent":"host","Parent":"p1.c1"}`)
	if diff := cmp.Diff("p1", requester.Root(child)); diff != "" || child == "p1" {
		t.Errorf("child %q: %s", child, diff)
	}
	first := open("key", `{"Agent":"host","Key":"k"}`)
	if diff := cmp.Diff(first, open("old", `{"Agent":"host","Key":"k"}`)); diff != "" {
		t.Errorf("same business and key: %s", diff)
	}
	if first == open("other", `{"Agent":"host","Key":"k"}`) || first == root {
		t.Error("two programs have the same id")
	}
}

func TestStreamHasExactlyOneFinalEvent(t *testing.T) {
	failure := answerer.New(answerer.AnswerTruncated, "cut")
	chunk := generator.Chunk{Request: "r", Text: "a", Tokens: 1}
	chunkEvent := "event: chunk\ndata: {\"Request\":\"r\",\"Offset\":0,\"Text\":\"a\",\"Tokens\":1}\n\n"
	tests := []struct {
		name   string
		do     doFunc
		status int
		events []string
	}{
		{"Complete", replyToAll, http.StatusOK, []string{"chunk", "chunk", "complete"}},
		{
			"Failed",
			func(_ context.Context, _ requester.Command, sink requester.Sink) (requester.Reply, error) {
				return requester.Reply{}, errors.Join(sink.Chunk(chunk), failure)
			},
			http.StatusOK,
			[]string{"chunk", "error"},
		},
		{
			"RejectedBeforeTheFirstChunk",
			func(context.Context, requester.Command, requester.Sink) (requester.Reply, error) {
				return requester.Reply{}, answerer.New(answerer.Overloaded, "full")
			},
			http.StatusTooManyRequests,
			nil,
		},
		{
			"Replayed",
			func(context.Context, requester.Command, requester.Sink) (requester.Reply, error) {
				return requester.Reply{Turn: &requester.TurnReply{Text: "a"}}, nil
			},
			http.StatusOK,
			[]string{"complete"},
		},
		{
			"UnexpectedReply",
			func(_ context.Context, _ requester.Command, sink requester.Sink) (requester.Reply, error) {
				return requester.Reply{}, sink.Chunk(chunk)
			},
			http.StatusOK,
			[]string{"chunk", "error"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			recorder := perform(newReceiver(test.do), testRequest{method: "POST", path: "/v1/programs/p1/turns", body: `{"Input":"x","Stream":true}`})
			if diff := cmp.Diff(test.status, recorder.Code); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.events, eventsOf(recorder)); diff != "" {
				t.Errorf("%s: %s", recorder.Body, diff)
			}
			if test.name == "Failed" && !strings.HasPrefix(recorder.Body.String(), chunkEvent) {
				t.Error(cmp.Diff(chunkEvent, recorder.Body.String()))
			}
		})
	}
}

func eventsOf(recorder *httptest.ResponseRecorder) []string {
	var events []string
	for line := range strings.Lines(recorder.Body.String()) {
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			events = append(events, strings.TrimSpace(name))
		}
	}
	return events
}

func TestChunkAfterTheFinalEventIsRejected(t *testing.T) {
	var late requester.Sink
	r := newReceiver(func(_ context.Context, _ requester.Command, sink requester.Sink) (requester.Reply, error) {
		late = sink
		return requester.Reply{Turn: &requester.TurnReply{}}, nil
	})
	recorder := perform(r, testRequest{method: "POST", path: "/v1/programs/p1/turns", body: `{"Input":"x","Stream":true}`})
	before := recorder.Body.String()
	if err := late.Chunk(generator.Chunk{Text: "late"}); err == nil {
		t.Error("a chunk after the final event was accepted")
	}
	if diff := cmp.Diff(before, recorder.Body.String()); diff != "" {
		t.Error(diff)
	}
}

func TestErrorResponsesMatchTheTable(t *testing.T) {
	for _, row := range answerer.Table() {
		m := meter.New()
		cause := answerer.Wrap(row.Kind, errors.New("secret"), "detail")
		r := newReceiver(func(context.Context, requester.Command, requester.Sink) (requester.Reply, error) {
			return requester.Reply{}, cause
		}, receiver.WithMeter(m))
		recorder := perform(r, testRequest{method: "DELETE", path: "/v1/programs/p1"})
		got := decodeError(t, recorder.Body.Bytes())
		want := receiver.ErrorResponse{
			Kind: row.Kind, Ran: row.Ran, Detail: "detail", RetryAfter: row.RetryAfter.Seconds(),
			Request: recorder.Header().Get("Wigeonstand-Request"),
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(row.Status, recorder.Code); diff != "" {
			t.Errorf("%s: %s", row.Kind, diff)
		}
		if diff := cmp.Diff(row.Retryable, recorder.Header().Get("Retry-After") != ""); diff != "" {
			t.Errorf("%s: %s", row.Kind, diff)
		}
		if diff := cmp.Diff(1.0, refusalCount(t, m, row)); diff != "" {
			t.Errorf("%s: %s", row.Kind, diff)
		}
	}
}

func TestRetryAfterIsRoundedUp(t *testing.T) {
	for after, want := range map[time.Duration]string{time.Millisecond: "1", time.Second: "1", 1001 * time.Millisecond: "2"} {
		r := newReceiver(func(context.Context, requester.Command, requester.Sink) (requester.Reply, error) {
			return requester.Reply{}, answerer.New(answerer.Overloaded, "full").WithRetryAfter(after)
		})
		recorder := perform(r, testRequest{method: "DELETE", path: "/v1/programs/p1"})
		if diff := cmp.Diff(want, recorder.Header().Get("Retry-After")); diff != "" {
			t.Errorf("%v: %s", after, diff)
		}
		if diff := cmp.Diff(after.Seconds(), decodeError(t, recorder.Body.Bytes()).RetryAfter); diff != "" {
			t.Error(diff)
		}
	}
}

func TestErrorsWithoutAKindAndPanicsAreInternal(t *testing.T) {
	tests := map[string]doFunc{
		"Error": func(context.Context, requester.Command, requester.Sink) (requester.Reply, error) {
			return requester.Reply{}, errors.New("secret")
		},
		"Panic": func(context.Context, requester.Command, requester.Sink) (requester.Reply, error) { panic("secret") },
		"Nil": func(context.Context, requester.Command, requester.Sink) (requester.Reply, error) {
			return requester.Reply{}, nil
		},
	}
	for name, do := range tests {
		recorder := perform(newReceiver(do), testRequest{method: "DELETE", path: "/v1/programs/p1"})
		if diff := cmp.Diff(answerer.Internal, decodeError(t, recorder.Body.Bytes()).Kind); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		if strings.Contains(recorder.Body.String(), "secret") {
			t.Errorf("%s: the response contains the cause: %s", name, recorder.Body)
		}
	}
}
