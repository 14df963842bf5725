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

// slowHandler answers after the time.
func slowHandler(d time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(d):
			_, _ = io.WriteString(w, "whole")
		case <-r.Context().Done():
		}
	})
}

// serve runs the server on a listener in memory. The function returned ends it
// and gives what Serve returned.
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
		{"within the grace", grace / 2, true},
		{"beyond the grace", grace * 2, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listener, end := serve(t, slowHandler(test.duration))
				transport := listener.Transport()
				defer transport.CloseIdleConnections()
				answers := make(chan string, 1)
				go func() {
					body, _ := get(t.Context(), &http.Client{Transport: transport}, "/")
					answers <- body
				}()
				synctest.Wait()
				if err := end(); err != nil {
					t.Error(err)
				}
				want := map[bool]string{true: "whole", false: ""}[test.completes]
				if diff := cmp.Diff(want, <-answers); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestSilencedConnectionHangsWhileNewOnesWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		listener, end := serve(t, slowHandler(0))
		old, fresh := listener.Transport(), listener.Transport()
		defer fresh.CloseIdleConnections()
		if _, err := get(t.Context(), &http.Client{Transport: old}, "/"); err != nil {
			t.Fatal(err)
		}
		silence(t, &http.Client{Transport: fresh}, `{"Connections":1}`)

		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := get(ctx, &http.Client{Transport: old}, "/")
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("the silenced connection gave %v", err)
		}
		body, err := get(t.Context(), &http.Client{Transport: fresh}, "/")
		if err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff("whole", body); diff != "" {
			t.Error(diff)
		}
		old.CloseIdleConnections()
		if err := end(); err != nil {
			t.Error(err)
		}
	})
}

// A stream that is under way when its connection goes silent ends neither
// whole nor cut.
func TestStreamOnASilencedConnectionStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stream := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for range 10 {
				_, _ = io.WriteString(w, "x")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(time.Second)
			}
		})
		listener, end := serve(t, stream)
		old, fresh := listener.Transport(), listener.Transport()
		defer fresh.CloseIdleConnections()
		time.AfterFunc(2500*time.Millisecond, func() {
			silence(t, &http.Client{Transport: fresh}, `{"Connections":1}`)
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		body, err := get(ctx, &http.Client{Transport: old}, "/")
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("the stream ended with %v", err)
		}
		if diff := cmp.Diff("xxx", body); diff != "" {
			t.Error(diff)
		}
		if err := end(); err != nil {
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
