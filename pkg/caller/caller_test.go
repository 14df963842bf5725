package caller_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"go.uber.org/goleak"

	"github.com/wigeonstand/wigeonstand/pkg/caller"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// reply describes how fakeTransport handles one request.
type reply struct {
	status            int
	header            http.Header
	body              string
	failsToConnect    bool
	failsAfterConnect bool
}

// fakeTransport answers each request with the next reply, and further requests with
// the last one.
type fakeTransport struct {
	replies []reply
	hosts   []string
	bodies  []string
}

func (t *fakeTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	r := t.replies[min(len(t.hosts), len(t.replies)-1)]
	body, _ := io.ReadAll(request.Body)
	t.hosts = append(t.hosts, request.URL.Host)
	t.bodies = append(t.bodies, string(body))
	if r.failsToConnect {
		return nil, errors.New("connection refused")
	}
	httptrace.ContextClientTrace(request.Context()).GotConn(httptrace.GotConnInfo{})
	if r.failsAfterConnect {
		return nil, io.ErrUnexpectedEOF
	}
	response := &http.Response{StatusCode: r.status, Header: r.header, Body: io.NopCloser(strings.NewReader(r.body))}
	if response.Header == nil {
		response.Header = http.Header{}
	}
	return response, nil
}

func newClient(t *testing.T, replies ...reply) (*caller.Client, *fakeTransport) {
	t.Helper()
	s := &fakeTransport{replies: replies}
	c, err := caller.New([]string{"http://a/", "http://b"}, "key",
		caller.WithHTTPClient(&http.Client{Transport: s}), caller.WithAttempts(3), caller.WithTimeout(20*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	return c, s
}

func refusal(status int, kind string, ran caller.Ran, after float64) reply {
	return reply{
		status: status,
		header: http.Header{"Wigeonstand-Kind": {kind}},
		body:   fmt.Sprintf(`{"Kind":%q,"Ran":%q,"Detail":"d","RetryAfter":%v,"Request":"r"}`, kind, ran, after),
	}
}

var (
	answered   = reply{status: 200, body: `{"Text":"hi","Number":1,"Chain":"c1"}`}
	overloaded = refusal(429, "Overloaded", caller.NotRun, 2)
)

func TestOnlyRequestsNotRunAreRetried(t *testing.T) {
	tests := []struct {
		name    string
		replies []reply
		sent    int
		elapsed time.Duration
		want    *caller.Error
	}{
		{"Complete", []reply{answered}, 1, 0, nil},
		{"NotRunOnce", []reply{overloaded, answered}, 2, 2 * time.Second, nil},
		{"NotRunAlways", []reply{overloaded}, 3, 4 * time.Second, &caller.Error{Status: 429, Kind: "Overloaded", Ran: caller.NotRun, RetryAfter: 2 * time.Second}},
		{"RetryAfterBeyondDeadline", []reply{refusal(429, "Overloaded", caller.NotRun, 60)}, 1, 0, &caller.Error{Status: 429, Kind: "Overloaded", Ran: caller.NotRun, RetryAfter: time.Minute}},
		{"NotRetryable", []reply{refusal(402, "BudgetExhausted", caller.NotRun, 0)}, 1, 0, &caller.Error{Status: 402, Kind: "BudgetExhausted", Ran: caller.NotRun}},
		{"RanAndFailed", []reply{refusal(502, "EndpointFailed", caller.RanAndFailed, 1)}, 1, 0, &caller.Error{Status: 502, Kind: "EndpointFailed", Ran: caller.RanAndFailed, RetryAfter: time.Second}},
		{"Unknown", []reply{refusal(502, "OutcomeUnknown", caller.Unknown, 1)}, 1, 0, &caller.Error{Status: 502, Kind: "OutcomeUnknown", Ran: caller.Unknown, RetryAfter: time.Second}},
		{"ConnectionFailed", []reply{{failsAfterConnect: true}}, 1, 0, &caller.Error{Kind: caller.KindCut, Ran: caller.Unknown}},
		{"RefusalCut", []reply{{status: 429, header: http.Header{"Wigeonstand-Kind": {"Overloaded"}}, body: `{"Kind"`}}, 1, 0, &caller.Error{Status: 429, Kind: caller.KindCut, Ran: caller.Unknown}},
		{"AnswerCut", []reply{{status: 200, body: `{"Text":"h`}}, 1, 0, &caller.Error{Status: 200, Kind: caller.KindCut, Ran: caller.Unknown}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, s := newClient(t, test.replies...)
				started := time.Now()
				_, err := c.Program("p1").Ask(t.Context(), "hello")
				var got *caller.Error
				errors.As(err, &got)
				ignored := cmpopts.IgnoreFields(caller.Error{}, "Detail", "Request")
				if diff := cmp.Diff(test.want, got, ignored, cmpopts.IgnoreUnexported(caller.Error{})); diff != "" {
					t.Errorf("%v: %s", err, diff)
				}
				if diff := cmp.Diff(test.sent, len(s.hosts)); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(test.elapsed, time.Since(started)); diff != "" {
					t.Error(diff)
				}
				for _, body := range s.bodies {
					if diff := cmp.Diff(s.bodies[0], body); diff != "" {
						t.Errorf("the body of a retry differs: %s", diff)
					}
				}
			})
		})
	}
}

func TestUnreachableEntryIsSkipped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := newClient(t, reply{failsToConnect: true}, answered)
		if _, err := c.Program("p1").Ask(t.Context(), "hello"); err != nil {
			t.Error(err)
		}
		if len(s.hosts) != 2 || s.hosts[0] == s.hosts[1] {
			t.Errorf("requests went to the entries %v", s.hosts)
		}
	})
}

func TestTurnsSendTheChainOfTheLastAnswer(t *testing.T) {
	c, s := newClient(t, reply{status: 201, body: `{"Program":"p1","Chain":"c0"}`}, answered)
	p, err := c.Open(t.Context(), "host", caller.WithBudget(5))
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := p.Ask(t.Context(), "hello"); err != nil {
			t.Fatal(err)
		}
	}
	for i, chain := range []string{"c0", "c1"} {
		if !strings.Contains(s.bodies[i+1], `"Chain":"`+chain+`"`) {
			t.Errorf("turn %d: %s", i+1, s.bodies[i+1])
		}
	}
}

func TestStreamIsCompleteOnlyWithItsLastEvent(t *testing.T) {
	const chunks = "event: chunk\ndata: {\"Text\":\"h\",\"Tokens\":1}\n\nevent: chunk\ndata: {\"Offset\":1,\"Text\":\"i\",\"Tokens\":1}\n\n"
	const complete = "event: complete\ndata: {\"Text\":\"hi\",\"Chain\":\"c1\"}\n\n"
	tests := map[string]struct {
		body string
		kind string
	}{
		"Complete":              {chunks + complete, ""},
		"Cut":                   {chunks, caller.KindCut},
		"LastEventUnterminated": {chunks + complete[:len(complete)-1], caller.KindCut},
		"Error":                 {chunks + "event: error\ndata: {\"Kind\":\"AnswerTruncated\",\"Ran\":\"RanAndFailed\"}\n\n", "AnswerTruncated"},
		"BadJSON":               {chunks + "event: complete\ndata: {\n\n", caller.KindCut},
	}
	for name, test := range tests {
		c, _ := newClient(t, reply{status: 200, body: test.body})
		text, answer, err := readStream(t.Context(), c.Program("p1"))
		if diff := cmp.Diff("hi", text); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
		var got caller.Error
		if e := (*caller.Error)(nil); errors.As(err, &e) {
			got = *e
		}
		if diff := cmp.Diff(test.kind, got.Kind); diff != "" {
			t.Errorf("%s: %v: %s", name, err, diff)
		}
		if diff := cmp.Diff(err == nil, answer.Text == "hi"); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}

func readStream(ctx context.Context, p *caller.Program) (string, caller.Answer, error) {
	s, err := p.Stream(ctx, "hello")
	if err != nil {
		return "", caller.Answer{}, err
	}
	defer s.Close()
	text := ""
	for s.Next() {
		text += s.Chunk().Text
	}
	return text, s.Answer(), s.Err()
}

func TestCallKeepsItsKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, s := newClient(t, overloaded, reply{status: 503, body: "own", header: http.Header{"Wigeonstand-Replayed": {"true"}}})
		got, err := c.Call(t.Context(), "fees", http.MethodPost, "/post", caller.WithCallKey("k1"), caller.WithBody("text/plain", []byte("x")))
		want := caller.Result{Key: "k1", Status: 503, Body: []byte("own"), Replayed: true}
		if diff := cmp.Diff(want, got); diff != "" || err != nil {
			t.Errorf("error %v: %s", err, diff)
		}
		if diff := cmp.Diff([]string{"x", "x"}, s.bodies); diff != "" {
			t.Error(diff)
		}
	})
}
