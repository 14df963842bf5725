package relayer

import (
	"errors"
	"io"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/matcher"
	"github.com/wigeonstand/wigeonstand/internal/reserver"
)

func TestIsStalled(t *testing.T) {
	for name, tc := range map[string]struct {
		progress bodyProgress
		want     bool
	}{
		"just begun":          {},
		"a pause":             {progress: bodyProgress{reading: 3 * time.Second, stalled: maxStall - 1, size: 1 << 20}},
		"stopped":             {progress: bodyProgress{reading: maxStall, stalled: maxStall, size: 1 << 20}, want: true},
		"byte by byte":        {progress: bodyProgress{reading: slowBodyTime, stalled: time.Millisecond, size: 1000}, want: true},
		"slow, but begun":     {progress: bodyProgress{reading: slowBodyTime - 1, stalled: time.Millisecond, size: 1000}},
		"large and at a pace": {progress: bodyProgress{reading: 10 * time.Second, stalled: time.Millisecond, size: 1 << 20}},
	} {
		if got := isStalled(tc.progress); got != tc.want {
			t.Errorf("%s: %t", name, got)
		}
	}
}

// pipeBody is the body of a caller that stops sending. A read deadline that has passed ends its Read.
type pipeBody struct {
	*httptest.ResponseRecorder
	evicted chan struct{}
	hasRead bool
}

func (p *pipeBody) SetReadDeadline(deadline time.Time) error {
	if !deadline.IsZero() && !deadline.After(time.Now()) {
		close(p.evicted)
	}
	return nil
}

func (p *pipeBody) Read(b []byte) (int, error) {
	if !p.hasRead {
		p.hasRead = true
		return len(b) - 1, nil
	}
	<-p.evicted
	return 0, io.ErrNoProgress
}

// Guards against bodies that stop short of their end and keep the memory from others.
func TestStalledBodyGivesItsMemoryToOneThatWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 1 << 20
		rl := New(Config{MaxSmallBodyBytes: size, MaxLargeBodyBytes: size})
		body := &pipeBody{ResponseRecorder: httptest.NewRecorder(), evicted: make(chan struct{})}
		x := &exchange{
			Relayer: rl, writer: body, route: &matcher.Route{}, deadline: time.Now().Add(time.Minute),
			memory: bodyReservation{memory: rl.bodies},
		}
		stalled := make(chan error, 1)
		go func() {
			defer x.memory.release()
			r := httptest.NewRequestWithContext(t.Context(), "POST", "/", io.NopCloser(body))
			r.ContentLength = size
			_, err := x.receiveBody(t.Context(), r, size)
			stalled <- err
		}()
		time.Sleep(time.Second)
		select {
		case err := <-stalled:
			t.Fatalf("the body was evicted while nothing waited: %v", err)
		default:
		}
		other := bodyReservation{memory: rl.bodies}
		start := time.Now()
		if err := other.reserve(t.Context(), reserver.Request{Size: size}, false, 500*time.Millisecond); err != nil {
			t.Errorf("after %v: %v", time.Since(start), err)
		}
		if err := <-stalled; !errors.Is(err, errBodyEvicted) {
			t.Errorf("the stalled body: %v", err)
		}
	})
}
