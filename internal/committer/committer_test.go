package committer_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/committer"
	"github.com/wigeonstand/wigeonstand/internal/leaser"
	"github.com/wigeonstand/wigeonstand/internal/sharder"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// store is an in-memory store of rows and objects. Each commit and put takes its
// result from failures until they are used up.
type store struct {
	storer.Objects
	mu       sync.Mutex
	rows     map[string][]byte
	objects  map[string][]byte
	head     int64
	commits  int
	failures []error
	fenced   bool
}

func newStore() *store { return &store{rows: map[string][]byte{}, objects: map[string][]byte{}} }

func (s *store) fail() error {
	if len(s.failures) == 0 {
		return nil
	}
	err := s.failures[0]
	s.failures = s.failures[1:]
	return err
}

// Commit implements committer.Lease.
func (s *store) Commit(_ context.Context, change leaser.Change) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fenced {
		return leaser.ErrFenced
	}
	if err := s.fail(); err != nil {
		return err
	}
	for _, w := range change.Writes {
		s.rows[w.Key] = w.Value
	}
	s.head = change.Head
	s.commits++
	return nil
}

func (s *store) Lease() leaser.Lease { return leaser.Lease{Instance: "a", Generation: 3} }

func (s *store) Put(_ context.Context, key string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.fail()
	if !errors.Is(err, storer.ErrUnavailable) {
		s.objects[key] = body
	}
	return err
}

func (s *store) Get(_ context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[key]
	if !ok {
		return nil, storer.ErrNotFound
	}
	return body, nil
}

func (s *store) List(_ context.Context, prefix string, _ int) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys, nil
}

// table is a storer.Table of the store that supports only scans.
type table struct {
	storer.Table
	store *store
}

func (t table) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	return t.store.scan(ctx, prefix, after, limit)
}

func (s *store) scan(_ context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storer.Row
	for key, value := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, storer.Row{Key: key, Value: value, Version: 1})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

// machine records the calls of Committed and Fenced.
type machine struct {
	sharder.StateMachine
	mu        sync.Mutex
	committed []int64
	fenced    int
}

func (m *machine) Committed(sequence int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.committed = append(m.committed, sequence)
}

func (m *machine) Fenced() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fenced++
}

func entry(shard, value int) []sharder.Entry {
	return []sharder.Entry{{Shard: shard, Body: fmt.Appendf(nil, "%04d", value)}}
}

// appendEntries runs a Committer and appends n entries on two shards, with a pause
// after every seventh.
func appendEntries(t *testing.T, s *store, m *machine, n int, options ...committer.Option) *committer.Committer {
	t.Helper()
	c := committer.New(s, s, options...)
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	done.Go(func() { _ = c.Run(ctx, m) })
	for value := range n {
		c.Append(entry(value%2, value))
		if value%7 == 0 {
			time.Sleep(time.Second)
		}
	}
	time.Sleep(time.Minute)
	cancel()
	done.Wait()
	return c
}

func read(s *store, source committer.Source, shard int) ([]string, error) {
	var values []string
	wanted := func(n int) bool { return n == shard }
	err := committer.Read(context.Background(), committer.Store{Table: table{store: s}, Objects: s}, source, wanted,
		func(sequence int64, entry sharder.Entry) error {
			values = append(values, fmt.Sprintf("%d:%s", sequence, entry.Body))
			return nil
		})
	return values, err
}

var source = committer.Source{Instance: "a", Generation: 3, After: 2, UpTo: 24}

func wantShard1() []string {
	var want []string
	for value := 3; value < 24; value += 2 {
		want = append(want, fmt.Sprintf("%d:%04d", value+1, value))
	}
	return want
}

func TestEntriesAreReadBackInOrder(t *testing.T) {
	down := fmt.Errorf("down: %w", storer.ErrUnavailable)
	for name, options := range map[string][]committer.Option{
		"Rows":    nil,
		"Objects": {committer.WithInlineBytes(0)},
		"Mixed":   {committer.WithInlineBytes(300), committer.WithBatchBytes(150)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, m := newStore(), &machine{}
				s.failures = []error{nil, down, storer.ErrInDoubt, down, nil, storer.ErrInDoubt}
				c := appendEntries(t, s, m, 24, options...)
				got, err := read(s, source, 1)
				if diff := cmp.Diff(wantShard1(), got); diff != "" || err != nil {
					t.Error(diff, err)
				}
				if diff := cmp.Diff(int64(24), m.committed[len(m.committed)-1]); diff != "" {
					t.Error(diff)
				}
				if diff := cmp.Diff(0, c.Backlog()); diff != "" {
					t.Error(diff)
				}
			})
		})
	}
}

func TestEntriesWithinAnIntervalShareOneCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := newStore(), &machine{}
		interval := func() time.Duration { return 10 * time.Second }
		appendEntries(t, s, m, 24, committer.WithInterval(interval))
		if diff := cmp.Diff(2, s.commits); diff != "" {
			t.Error(diff)
		}
	})
}

// readKeys returns the keys of the objects that a read of the source covers: those
// whose last sequence is greater than source.After.
func readKeys(t *testing.T, s *store, source committer.Source) []string {
	t.Helper()
	keys, err := s.List(t.Context(), committer.GenerationPrefix(source.Instance, source.Generation), 100)
	if err != nil {
		t.Fatal(err)
	}
	skipped := committer.BatchKey(source.Instance, source.Generation, source.After)
	return slices.DeleteFunc(keys, func(key string) bool { return key <= skipped })
}

func TestReadRejectsDamagedJournals(t *testing.T) {
	damages := map[string]func(s *store, keys []string){
		"Missing": func(s *store, keys []string) { delete(s.objects, keys[0]) },
		"Flipped": func(s *store, keys []string) {
			s.objects[keys[0]] = []byte(strings.Replace(string(s.objects[keys[0]]), "Shard", "shard", 1))
		},
		"Swapped":   func(s *store, keys []string) { s.objects[keys[0]] = s.objects[keys[1]] },
		"Truncated": func(s *store, keys []string) { s.objects[keys[0]] = s.objects[keys[0]][:20] },
	}
	for name, damage := range damages {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				appendEntries(t, s, &machine{}, 24, committer.WithInlineBytes(0))
				damage(s, readKeys(t, s, source))
				if _, err := read(s, source, 1); err == nil {
					t.Error("Read succeeded on a damaged journal")
				}
			})
		})
	}
}

func TestFencingStopsCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := newStore(), &machine{}
		s.fenced = true
		c := appendEntries(t, s, m, 3)
		if diff := cmp.Diff(1, m.fenced); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff([]int64(nil), m.committed); diff != "" {
			t.Error(diff)
		}
		if diff := cmp.Diff(0, c.Backlog()); diff != "" {
			t.Error(diff)
		}
	})
}

func TestStoreOutageKeepsOrderAndFillsBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, m := newStore(), &machine{}
		for range 20 {
			s.failures = append(s.failures, errors.Join(storer.ErrUnavailable))
		}
		c := committer.New(s, s, committer.WithBacklogBytes(100))
		ctx, cancel := context.WithCancel(t.Context())
		var done sync.WaitGroup
		done.Go(func() { _ = c.Run(ctx, m) })
		for value := range 24 {
			c.Append(entry(value%2, value))
		}
		if !c.IsFull() {
			t.Error("IsFull is false during the outage")
		}
		time.Sleep(2 * time.Minute)
		if diff := cmp.Diff(false, c.IsFull()); diff != "" {
			t.Error(diff)
		}
		got, err := read(s, source, 1)
		if diff := cmp.Diff(wantShard1(), got); diff != "" || err != nil {
			t.Error(diff, err)
		}
		cancel()
		done.Wait()
	})
}
