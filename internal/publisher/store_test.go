package publisher_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// faults are the probabilities of the faults of a request.
type faults struct {
	// lostAnswers: a write takes effect and returns ErrInDoubt.
	lostAnswers float64
	// delayedWrites: a write returns ErrInDoubt and is applied later.
	delayedWrites float64
	// outageAfterWrite: a write takes effect and returns ErrInDoubt, and the store
	// then has an outage.
	outageAfterWrite float64
	// staleReads: a read returns older states, a different one for each row.
	staleReads float64
}

// faultyStore is an in-memory table and object store with injected faults. All
// random values come from one seeded source.
type faultyStore struct {
	mu      sync.Mutex
	random  *rand.Rand
	faults  faults
	outage  bool
	rows    map[string]storer.Row
	history []map[string]storer.Row
	objects map[string][]byte
	serial  int64
}

const (
	maxLatency    = 30 * time.Millisecond
	maxWriteDelay = 3 * time.Second
	outageLength  = 6 * time.Second
	historyDepth  = 4
)

func newFaultyStore(seed uint64) *faultyStore {
	return &faultyStore{
		random:  rand.New(rand.NewPCG(seed, 1)),
		rows:    map[string]storer.Row{},
		objects: map[string][]byte{},
	}
}

func (s *faultyStore) set(f faults, outage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.outage = f, outage
}

// requestOutcome is the latency and the faults drawn for one request.
type requestOutcome struct {
	faults
	wait   time.Duration
	roll   float64
	outage bool
}

func (s *faultyStore) draw() requestOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	return requestOutcome{
		faults: s.faults,
		wait:   time.Duration(s.random.Int64N(int64(maxLatency))),
		roll:   s.random.Float64(),
		outage: s.outage,
	}
}

func pause(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

func (s *faultyStore) Commit(ctx context.Context, commit storer.Commit) (storer.Result, error) {
	f := s.draw()
	if err := pause(ctx, f.wait); err != nil || f.outage {
		return storer.Result{}, storer.ErrUnavailable
	}
	if f.roll < f.delayedWrites {
		time.AfterFunc(time.Duration(f.roll/f.delayedWrites*float64(maxWriteDelay)), func() { _, _ = s.apply(commit) })
		return storer.Result{}, storer.ErrInDoubt
	}
	result, err := s.apply(commit)
	if f.roll > 1-f.outageAfterWrite {
		s.set(f.faults, true)
		time.AfterFunc(outageLength, func() { s.set(f.faults, false) })
		return storer.Result{}, storer.ErrInDoubt
	}
	if f.roll < f.delayedWrites+f.lostAnswers {
		return storer.Result{}, storer.ErrInDoubt
	}
	return result, err
}

func (s *faultyStore) apply(commit storer.Commit) (storer.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, condition := range commit.Conditions {
		if s.rows[condition.Key].Version != condition.Version {
			return storer.Result{}, storer.ErrConflict
		}
	}
	s.history = append(s.history, maps.Clone(s.rows))
	result := storer.Result{Versions: map[string]int64{}}
	for _, write := range commit.Writes {
		s.serial++
		s.rows[write.Key] = storer.Row{Key: write.Key, Value: write.Value, Version: s.serial}
		result.Versions[write.Key] = s.serial
	}
	return result, nil
}

func (s *faultyStore) Read(ctx context.Context, keys ...string) ([]storer.Row, error) {
	f := s.draw()
	if err := pause(ctx, f.wait); err != nil || f.outage {
		return nil, storer.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []storer.Row
	for i, key := range keys {
		row := s.rowsAt(f, i)[key]
		row.Key = key
		found = append(found, row)
	}
	return found, nil
}

// rowsAt returns the state from which the i-th row of a read is served.
func (s *faultyStore) rowsAt(f requestOutcome, i int) map[string]storer.Row {
	back := (int(f.roll*1e6) + i) % (historyDepth + 1)
	if f.roll >= f.staleReads || back == 0 || back > len(s.history) {
		return s.rows
	}
	return s.history[len(s.history)-back]
}

func (s *faultyStore) Scan(context.Context, string, string, int) ([]storer.Row, error) {
	return nil, storer.ErrUnavailable
}

func (s *faultyStore) Put(ctx context.Context, key string, body []byte) error {
	f := s.draw()
	if err := pause(ctx, f.wait); err != nil || f.outage {
		return storer.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = slices.Clone(body)
	if f.roll < f.lostAnswers {
		return storer.ErrInDoubt
	}
	return nil
}

func (s *faultyStore) Get(ctx context.Context, key string) ([]byte, error) {
	f := s.draw()
	if err := pause(ctx, f.wait); err != nil || f.outage {
		return nil, storer.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[key]
	if !ok {
		return nil, storer.ErrNotFound
	}
	return body, nil
}

func (s *faultyStore) Delete(context.Context, string) error { return storer.ErrUnavailable }

func (s *faultyStore) List(_ context.Context, prefix string, _ int) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys, nil
}
