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

// faults are the shares, 0 to 1, of requests that go wrong.
type faults struct {
	// lostAnswers writes take effect and are answered with ErrInDoubt.
	lostAnswers float64
	// delayedWrites writes are answered with ErrInDoubt and tried again later.
	delayedWrites float64
	// outageAfterWrite writes take effect, and the store is then down for a while.
	outageAfterWrite float64
	// staleReads reads answer from older states, each row from its own.
	staleReads float64
}

// faultyStore is a table and an object store that go wrong as they are told. All
// draws come from one seeded source.
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

func newMemory(seed uint64) *faultyStore {
	return &faultyStore{
		random:  rand.New(rand.NewPCG(seed, 1)),
		rows:    map[string]storer.Row{},
		objects: map[string][]byte{},
	}
}

func (m *faultyStore) set(f faults, outage bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults, m.outage = f, outage
}

// requestOutcome is what happens to one request.
type requestOutcome struct {
	faults
	wait   time.Duration
	roll   float64
	outage bool
}

func (m *faultyStore) draw() requestOutcome {
	m.mu.Lock()
	defer m.mu.Unlock()
	return requestOutcome{
		faults: m.faults,
		wait:   time.Duration(m.random.Int64N(int64(maxLatency))),
		roll:   m.random.Float64(),
		outage: m.outage,
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

func (m *faultyStore) Commit(ctx context.Context, commit storer.Commit) (storer.Result, error) {
	f := m.draw()
	if err := pause(ctx, f.wait); err != nil || f.outage {
		return storer.Result{}, storer.ErrUnavailable
	}
	if f.roll < f.delayedWrites {
		time.AfterFunc(time.Duration(f.roll/f.delayedWrites*float64(maxWriteDelay)), func() { _, _ = m.apply(commit) })
		return storer.Result{}, storer.ErrInDoubt
	}
	result, err := m.apply(commit)
	if f.roll > 1-f.outageAfterWrite {
		m.set(f.faults, true)
		time.AfterFunc(outageLength, func() { m.set(f.faults, false) })
		return storer.Result{}, storer.ErrInDoubt
	}
	if f.roll < f.delayedWrites+f.lostAnswers {
		return storer.Result{}, storer.ErrInDoubt
	}
	return result, err
}

func (m *faultyStore) apply(commit storer.Commit) (storer.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, condition := range commit.Conditions {
		if m.rows[condition.Key].Version != condition.Version {
			return storer.Result{}, storer.ErrConflict
		}
	}
	m.history = append(m.history, maps.Clone(m.rows))
	result := storer.Result{Versions: map[string]int64{}}
	for _, write := range commit.Writes {
		m.serial++
		m.rows[write.Key] = storer.Row{Key: write.Key, Value: write.Value, Version: m.serial}
		result.Versions[write.Key] = m.serial
	}
	return result, nil
}

func (m *faultyStore) Read(ctx context.Context, keys ...string) ([]storer.Row, error) {
	f := m.draw()
	if err := pause(ctx, f.wait); err != nil || f.outage {
		return nil, storer.ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []storer.Row
	for i, key := range keys {
		row := m.rowsAt(f, i)[key]
		row.Key = key
		found = append(found, row)
	}
	return found, nil
}

// rowsAt returns the state that the i-th row of a read is answered from.
func (m *faultyStore) rowsAt(f requestOutcome, i int) map[string]storer.Row {
	back := (int(f.roll*1e6) + i) % (historyDepth + 1)
	if f.roll >= f.staleReads || back == 0 || back > len(m.history) {
		return m.rows
	}
	return m.history[len(m.history)-back]
}

func (m *faultyStore) Scan(context.Context, string, string, int) ([]storer.Row, error) {
	return nil, storer.ErrUnavailable
}

func (m *faultyStore) Put(ctx context.Context, key string, body []byte) error {
	f := m.draw()
	if err := pause(ctx, f.wait); err != nil || f.outage {
		return storer.ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects[key] = slices.Clone(body)
	if f.roll < f.lostAnswers {
		return storer.ErrInDoubt
	}
	return nil
}

func (m *faultyStore) Get(ctx context.Context, key string) ([]byte, error) {
	f := m.draw()
	if err := pause(ctx, f.wait); err != nil || f.outage {
		return nil, storer.ErrUnavailable
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	body, ok := m.objects[key]
	if !ok {
		return nil, storer.ErrNotFound
	}
	return body, nil
}

func (m *faultyStore) Delete(context.Context, string) error { return storer.ErrUnavailable }

func (m *faultyStore) List(_ context.Context, prefix string, _ int) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var keys []string
	for key := range m.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys, nil
}
