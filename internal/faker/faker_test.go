package faker_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"github.com/wigeonstand/wigeonstand/internal/faker"
	"github.com/wigeonstand/wigeonstand/internal/logger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const grace = 10 * time.Second

// slowHandler responds after d.
func slowHandler(d time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			_, _ = io.WriteString(w, "complete")
		case <-r.Context().Done():
		}
	})
}

// serve runs the server on an in-memory listener. The returned function shuts it
// down and returns the result of ServeOn.
func serve(t *testing.T, handler http.Handler) (*faker.PipeListener, func() error) {
	t.Helper()
	listener := faker.NewPipeListener()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		done <- faker.Server{Grace: grace}.ServeOn(ctx, logger.Discard(), listener, handler)
	}()
	return listener, func() error {
		cancel()
		return <-done
	}
}

func get(ctx context.Context, client *http.Client, path string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://fake"+path, nil)
	if err != nil {
		return "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestShutdownWaitsForRequestsInFlight(t *testing.T) {
	tests := []struct {
		name      string
		duration  time.Duration
		completes bool
	}{
		{"within the grace period", grace / 2, true},
		{"beyond the grace period", grace * 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener, shutdown := serve(t, slowHandler(test.duration))
				transport := listener.Transport()
				defer transport.CloseIdleConnections()
				bodies := make(chan string, 1)
				go func() {
					body, _ := get(t.Context(), &http.Client{Transport: transport}, "/")
					bodies <- body
				}()
				synctest.Wait()
				if err := shutdown(); err != nil {
					t.Error(err)
				}
				want := map[bool]string{true: "complete", false: ""}[test.completes]
				if diff := cmp.Diff(want, <-bodies); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestSilenceAffectsOnlyOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, shutdown := serve(t, slowHandler(0))
		silenced, unaffected := listener.Transport(), listener.Transport()
		defer unaffected.CloseIdleConnections()
		if _, err := get(t.Context(), &http.Client{Transport: silenced}, "/"); err != nil {
			t.Fatal(err)
		}
		silence(t, &http.Client{Transport: unaffected}, `{"Connections":1}`)

		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := get(ctx, &http.Client{Transport: silenced}, "/")
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("request on the silenced connection: got error %v, want a deadline exceeded", err)
		}
		body, err := get(t.Context(), &http.Client{Transport: unaffected}, "/")
		if err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff("complete", body); diff != "" {
			t.Error(diff)
		}
		silenced.CloseIdleConnections()
		if err := shutdown(); err != nil {
			t.Error(err)
		}
	})
}

// A response stream whose connection becomes silent neither completes nor fails:
// the client receives the part sent before and then waits until its deadline.
func TestStreamOnASilencedConnectionStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for range 10 {
				_, _ = io.WriteString(w, "x")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(time.Second)
			}
		})
		listener, shutdown := serve(t, stream)
		silenced, unaffected := listener.Transport(), listener.Transport()
		defer unaffected.CloseIdleConnections()
		time.AfterFunc(2500*time.Millisecond, func() {
			silence(t, &http.Client{Transport: unaffected}, `{"Connections":1}`)
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		body, err := get(ctx, &http.Client{Transport: silenced}, "/")
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("reading the stream: got error %v, want a deadline exceeded", err)
		}
		if diff := cmp.Diff("xxx", body); diff != "" {
			t.Error(diff)
		}
		if err := shutdown(); err != nil {
			t.Error(err)
		}
	})
}

func silence(t *testing.T, client *http.Client, want string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://fake/silence", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want+"\n", string(body)); diff != "" {
		t.Error(diff)
	}
}
