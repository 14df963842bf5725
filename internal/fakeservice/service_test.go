package fakeservice_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/wigeonstand/wigeonstand/internal/faker"
	"github.com/wigeonstand/wigeonstand/internal/fakeservice"
	"github.com/wigeonstand/wigeonstand/internal/logger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fixture is a service with a client that is connected to it by in-memory pipes.
type fixture struct {
	*testing.T
	service *fakeservice.Service
	client  *http.Client
}

func runWithService(t *testing.T, test func(f fixture), options ...fakeservice.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		service := fakeservice.New("fees", options...)
		listener := faker.NewPipeListener()
		transport := listener.Transport()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() {
			done <- faker.Server{Grace: time.Second}.ServeOn(ctx, logger.Discard(), listener, service.Handler())
		}()
		test(fixture{t, service, &http.Client{Transport: transport}})
		transport.CloseIdleConnections()
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// do sends a request with a timeout of one minute. It returns status 0 if the
// connection is closed or the request times out.
func (f fixture) do(method, path, header, body string) (int, string) {
	f.Helper()
	ctx, cancel := context.WithTimeout(f.Context(), time.Minute)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://service"+path, strings.NewReader(body))
	if err != nil {
		f.Fatal(err)
	}
	if header != "" {
		r.Header.Set(header, "k")
	}
	response, err := f.client.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		f.Fatal(err)
	}
	return response.StatusCode, string(responseBody)
}

func (f fixture) assertEqual(want, got any) {
	f.Helper()
	if diff := cmp.Diff(want, got); diff != "" {
		f.Error(diff)
	}
}

func (f fixture) executed() int { return f.service.Counts().Executed }

func TestExecutionsAreCountedAndEchoed(t *testing.T) {
	runWithService(t, func(f fixture) {
		for _, header := range []string{"Idempotency-Key", "Wigeonstand-Key"} {
			status, body := f.do("POST", "/postings?a=b", header, "250 cents")
			f.assertEqual(http.StatusOK, status)
			var echo fakeservice.Echo
			if err := json.Unmarshal([]byte(body), &echo); err != nil {
				f.Fatal(err)
			}
			f.assertEqual(fakeservice.Echo{
				Key: "k", Method: "POST", Path: "/postings?a=b", Body: "250 cents", Execution: f.executed(),
			}, echo)
		}
		_, _ = f.do("POST", "/postings?a=b", "", `{"Key":"k","Cents":250}`)
		counts := f.service.Counts()
		f.assertEqual([]int{3, 3, 2}, []int{counts.Received, counts.Executed, len(counts.Executions)})
		f.assertEqual(2, counts.Executions[0].Count+counts.Executions[1].Count-1)
	})
}

func TestDeduplicatedKeyIsExecutedOnce(t *testing.T) {
	runWithService(t, func(f fixture) {
		_, first := f.do("POST", "/postings", "Idempotency-Key", "x")
		_, second := f.do("POST", "/postings", "Idempotency-Key", "x")
		f.assertEqual(first, second)
		counts := f.service.Counts()
		f.assertEqual([]int{2, 1, 1}, []int{counts.Received, counts.Executed, counts.Repeated})
	}, fakeservice.WithDeduplication())
}

func TestStatusReportsDoneOrAbsent(t *testing.T) {
	runWithService(t, func(f fixture) {
		status, body := f.do("GET", "/status?Key=k", "", "")
		f.assertEqual([]any{http.StatusNotFound, `{"State":"Absent"}` + "\n"}, []any{status, body})
		_, echo := f.do("POST", "/postings", "Idempotency-Key", "x")
		status, body = f.do("GET", "/status?Key=k", "", "")
		f.assertEqual([]any{http.StatusOK, `{"State":"Done",` + echo[1:]}, []any{status, body})
		f.assertEqual(1, f.executed())
	})
}

func TestLeavingServiceRefusesNewRequests(t *testing.T) {
	runWithService(t, func(f fixture) {
		_, _ = f.do("PUT", "/leaving", "", `{"Leaving":true}`)
		status, _ := f.do("POST", "/postings", "", "x")
		counts := f.service.Counts()
		f.assertEqual([]int{http.StatusServiceUnavailable, 0, 1}, []int{status, counts.Executed, counts.AfterLeaving})
		_, _ = f.do("PUT", "/leaving", "", `{"Leaving":false}`)
		status, _ = f.do("POST", "/postings", "", "x")
		f.assertEqual([]int{http.StatusOK, 1}, []int{status, f.executed()})
	})
}

func TestFaultsApplyBeforeOrAfterExecution(t *testing.T) {
	tests := []struct {
		name     string
		faults   fakeservice.Faults
		status   int
		executed int
	}{
		{"refuse", fakeservice.Faults{Refuse: true}, http.StatusServiceUnavailable, 0},
		{"fail", fakeservice.Faults{Fail: true}, http.StatusInternalServerError, 1},
		{"close before", fakeservice.Faults{CloseBefore: true}, 0, 0},
		{"close after", fakeservice.Faults{CloseAfter: true}, 0, 1},
		{"hang before", fakeservice.Faults{HangBefore: true}, 0, 0},
		{"hang after", fakeservice.Faults{HangAfter: true}, 0, 1},
		{"delay below the client timeout", fakeservice.Faults{Delay: time.Second}, http.StatusOK, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithService(t, func(f fixture) {
				test.faults.Times = 1
				f.service.SetFaults(test.faults)
				status, _ := f.do("POST", "/postings", "", "x")
				f.assertEqual([]int{test.status, test.executed}, []int{status, f.executed()})
				status, _ = f.do("POST", "/postings", "", "x")
				f.assertEqual([]int{http.StatusOK, test.executed + 1}, []int{status, f.executed()})
			})
		})
	}
}

func TestDelayedRequestIsExecutedAfterCallerDisconnects(t *testing.T) {
	runWithService(t, func(f fixture) {
		f.service.SetFaults(fakeservice.Faults{Delay: 2 * time.Minute})
		status, _ := f.do("POST", "/postings", "Idempotency-Key", "x")
		f.assertEqual([]any{0, fakeservice.StateAbsent}, []any{status, f.service.Status("k").State})
		time.Sleep(2 * time.Minute)
		f.assertEqual(fakeservice.StateDone, f.service.Status("k").State)
	})
}

// net/http's client retries a request with an Idempotency-Key header if a reused
// connection is closed without a response, so that the service executes the
// request twice.
func TestClientRetriesIdempotencyKeyOnReusedConnection(t *testing.T) {
	tests := []struct {
		header   string
		executed int
	}{
		{"Idempotency-Key", 2},
		{"Wigeonstand-Key", 1},
	}
	for _, test := range tests {
		t.Run(test.header, func(t *testing.T) {
			runWithService(t, func(f fixture) {
				_, _ = f.do("GET", "/counts", "", "")
				f.service.SetFaults(fakeservice.Faults{CloseAfter: true, Times: 1})
				_, _ = f.do("POST", "/postings", test.header, "x")
				f.assertEqual(test.executed, f.executed())
			})
		})
	}
}
