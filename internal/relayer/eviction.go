package relayer

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxStall is how long a caller may send nothing of a body while others wait for its memory.
	maxStall = 250 * time.Millisecond
	// minBodyRate is the least mean rate of a body in bytes per second while others wait, once it has
	// been read for slowBodyTime.
	minBodyRate  = 64 << 10
	slowBodyTime = time.Second
	// evictionInterval is the time between two looks at the bodies while a request waits.
	evictionInterval = 50 * time.Millisecond
)

// errBodyEvicted means that the body did not go on while others waited for its memory.
var errBodyEvicted = eris.New("the body stalled while others waited for its memory")

// bodyProgress is how far the reading of a body is.
type bodyProgress struct {
	// reading is how long it has been read, and stalled how long nothing of it has come.
	reading, stalled time.Duration
	size             int64
}

// isStalled reports whether the body gives up its memory to others that wait.
func isStalled(p bodyProgress) bool {
	if p.stalled >= maxStall {
		return true
	}
	return p.reading >= slowBodyTime && float64(p.size) < minBodyRate*p.reading.Seconds()
}

// bodyReaders are the bodies that are being read and have memory.
type bodyReaders struct {
	mu      sync.Mutex
	readers map[*bodyReader]struct{}
}

// startEvicting ends the reading of stalled bodies until the returned function is called.
func (b *bodyReaders) startEvicting() (stop func()) {
	done := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() {
		ticker := time.NewTicker(evictionInterval)
		defer ticker.Stop()
		for {
			b.evictStalled(time.Now())
			select {
			case <-done:
				return
			case <-ticker.C:
			}
		}
	})
	return func() {
		close(done)
		work.Wait()
	}
}

func (b *bodyReaders) evictStalled(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for r := range b.readers {
		if isStalled(bodyProgress{reading: now.Sub(r.start), stalled: now.Sub(r.lastRead), size: r.size}) {
			r.isEvicted = true
			_ = r.controller.SetReadDeadline(now) // It fails on a closed connection only.
			delete(b.readers, r)
		}
	}
}

// bodyReader reads a body until it is complete, or the deadline, or until it is evicted.
type bodyReader struct {
	body       io.Reader
	controller *http.ResponseController
	all        *bodyReaders

	// The mutex of all guards the following.
	start, lastRead time.Time
	size            int64
	isEvicted       bool
}

// startReading returns a bodyReader, whose end must be called.
func (x *exchange) startReading(body io.Reader) (*bodyReader, error) {
	now := time.Now()
	r := &bodyReader{body: body, controller: http.NewResponseController(x.writer), all: &x.bodies.readers, start: now, lastRead: now}
	// A writer that is no connection has no deadline.
	if err := r.controller.SetReadDeadline(x.deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return nil, eris.Wrap(err, "limit the time to read the body")
	}
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	if r.all.readers == nil {
		r.all.readers = map[*bodyReader]struct{}{}
	}
	r.all.readers[r] = struct{}{}
	return r, nil
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	if r.isEvicted {
		return n, errBodyEvicted
	}
	if n > 0 {
		r.lastRead = time.Now()
		r.size += int64(n)
	}
	return n, err
}

// end ends the reading.
func (r *bodyReader) end() {
	r.all.mu.Lock()
	defer r.all.mu.Unlock()
	delete(r.all.readers, r)
	if !r.isEvicted {
		_ = r.controller.SetReadDeadline(time.Time{}) // It fails on a closed connection only.
	}
}
