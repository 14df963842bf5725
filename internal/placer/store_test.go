package placer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/leaser"
	"github.com/wigeonstand/wigeonstand/internal/placer"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// memory is a table and object store that checks what no commit may ever break.
type memory struct {
	mu         sync.Mutex
	rows       map[string]storer.Row
	objects    map[string][]byte
	versions   int64
	outage     bool
	writes     int
	reads      int
	violations []string
}

func newMemory() *memory {
	return &memory{rows: map[string]storer.Row{}, objects: map[string][]byte{}}
}

func (m *memory) violation(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
}

func (m *memory) apply(commit storer.Commit) (storer.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range commit.Conditions {
		if m.rows[c.Key].Version != c.Version {
			return storer.Result{}, storer.ErrConflict
		}
	}
	result := storer.Result{Versions: map[string]int64{}}
	for _, w := range commit.Writes {
		m.check(w)
		m.versions++
		if w.Delete {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = storer.Row{Key: w.Key, Value: w.Value, Version: m.versions}
		result.Versions[w.Key] = m.versions
	}
	return result, nil
}

// check notes a write that takes a generation, a head or an epoch back, or a
// shard away from an owner that may still commit.
func (m *memory) check(w storer.Write) {
	old, ok := m.rows[w.Key]
	if !ok || w.Delete {
		return
	}
	switch {
	case strings.HasPrefix(w.Key, leaser.KeyPrefix):
		was, is := decode[leaser.Lease](old.Value), decode[leaser.Lease](w.Value)
		if is.Generation < was.Generation {
			m.violation("%s: generation %d after %d", w.Key, is.Generation, was.Generation)
		}
		if is.Generation == was.Generation && (is.Head < was.Head || is.Incarnation != was.Incarnation) {
			m.violation("%s: %+v after %+v", w.Key, is, was)
		}
	case strings.HasPrefix(w.Key, placer.ShardPrefix):
		m.checkShard(decode[placer.Shard](old.Value), decode[placer.Shard](w.Value))
	case w.Key == placer.ShardMapKey:
		was, is := decode[placer.ShardMap](old.Value), decode[placer.ShardMap](w.Value)
		if is.Epoch != was.Epoch+1 {
			m.violation("map epoch %d after %d", is.Epoch, was.Epoch)
		}
	}
}

func (m *memory) checkShard(was, is placer.Shard) {
	if len(was.Sources) == 0 {
		return
	}
	owner := was.Sources[len(was.Sources)-1]
	next := is.Sources[len(is.Sources)-1]
	sameOwner := owner.Instance == next.Instance && owner.Generation == next.Generation
	if owner.Closed || sameOwner {
		return
	}
	holder := decode[leaser.Lease](m.rows[leaser.Key(owner.Instance)].Value)
	if holder.Generation == owner.Generation {
		m.violation("shard %d: %+v took it from %+v, which may still commit", is.Shard, next, owner)
	}
}

func (m *memory) owner(shard int) placer.Owner {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := decode[placer.Shard](m.rows[fmt.Sprintf("%s%04d", placer.ShardPrefix, shard)].Value)
	if len(row.Sources) == 0 || row.Sources[len(row.Sources)-1].Closed {
		return placer.Owner{}
	}
	last := row.Sources[len(row.Sources)-1]
	return placer.Owner{Instance: last.Instance, Generation: last.Generation}
}

func decode[T any](body []byte) T {
	var value T
	if len(body) > 0 {
		if err := json.Unmarshal(body, &value); err != nil {
			panic(err)
		}
	}
	return value
}

// storeClient is one instance's way to the store, with faults of its own.
type storeClient struct {
	*memory

	mu sync.Mutex
	// loseResponses and delayWrites count the writes whose answers are lost next; a delayWrites one
	// takes effect only after the answer was lost.
	loseResponses, delayWrites int
	disconnected               bool
	// paused is not nil while the instance is paused.
	paused chan struct{}
	// beforeCommit is called with each commit that is about to be sent.
	beforeCommit func(commit storer.Commit)
}

const (
	storeDelay       = 2 * time.Millisecond
	delayedWriteTime = 3 * time.Second
)

// connect waits while the instance is paused and says whether the store answers.
func (l *storeClient) connect(ctx context.Context) error {
	for {
		l.mu.Lock()
		asleep, cut := l.paused, l.disconnected
		l.mu.Unlock()
		if asleep != nil {
			<-asleep
			continue
		}
		l.memory.mu.Lock()
		out := l.outage
		l.memory.mu.Unlock()
		if cut || out {
			time.Sleep(storeDelay)
			return storer.ErrUnavailable
		}
		break
	}
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", storer.ErrUnavailable, ctx.Err())
	}
	time.Sleep(storeDelay)
	return nil
}

type outcome int

const (
	succeeded outcome = iota
	responseLost
	writeDelayed
)

func (l *storeClient) nextOutcome() outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.loseResponses > 0:
		l.loseResponses--
		return responseLost
	case l.delayWrites > 0:
		l.delayWrites--
		return writeDelayed
	}
	return succeeded
}

func (l *storeClient) setBeforeCommit(before func(storer.Commit)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.beforeCommit = before
}

func (m *memory) count(writes, reads int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes += writes
	m.reads += reads
}

func (m *memory) counts() (writes, reads int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes, m.reads
}

func (l *storeClient) Commit(ctx context.Context, commit storer.Commit) (storer.Result, error) {
	l.count(1, 0)
	if err := l.connect(ctx); err != nil {
		return storer.Result{}, err
	}
	l.mu.Lock()
	before := l.beforeCommit
	l.mu.Unlock()
	if before != nil {
		before(commit)
	}
	switch l.nextOutcome() {
	case responseLost:
		_, _ = l.apply(commit)
		return storer.Result{}, storer.ErrInDoubt
	case writeDelayed:
		time.AfterFunc(delayedWriteTime, func() { _, _ = l.apply(commit) })
		return storer.Result{}, storer.ErrInDoubt
	}
	return l.apply(commit)
}

func (l *storeClient) Read(ctx context.Context, keys ...string) ([]storer.Row, error) {
	l.count(0, 1)
	if err := l.connect(ctx); err != nil {
		return nil, err
	}
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	rows := make([]storer.Row, len(keys))
	for i, key := range keys {
		rows[i] = l.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

func (l *storeClient) Scan(ctx context.Context, prefix, after string, limit int) ([]storer.Row, error) {
	l.count(0, 1)
	if err := l.connect(ctx); err != nil {
		return nil, err
	}
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	var rows []storer.Row
	for key, row := range l.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

func (l *storeClient) Put(ctx context.Context, key string, body []byte) error {
	l.count(1, 0)
	if err := l.connect(ctx); err != nil {
		return err
	}
	isResponseLost := l.nextOutcome() != succeeded
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	if old, ok := l.objects[key]; ok && string(old) != string(body) {
		l.violation("object %s was replaced", key)
	}
	l.objects[key] = body
	if isResponseLost {
		return storer.ErrInDoubt
	}
	return nil
}

func (l *storeClient) Get(ctx context.Context, key string) ([]byte, error) {
	l.count(0, 1)
	if err := l.connect(ctx); err != nil {
		return nil, err
	}
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	body, ok := l.objects[key]
	if !ok {
		return nil, storer.ErrNotFound
	}
	return body, nil
}

func (l *storeClient) Delete(ctx context.Context, key string) error {
	l.count(1, 0)
	if err := l.connect(ctx); err != nil {
		return err
	}
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	delete(l.objects, key)
	return nil
}

func (l *storeClient) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	l.count(0, 1)
	if err := l.connect(ctx); err != nil {
		return nil, err
	}
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	var keys []string
	for key := range l.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys[:min(limit, len(keys))], nil
}

func (l *storeClient) Instances(ctx context.Context) ([]storer.Listing, error) {
	l.count(0, 1)
	return nil, l.connect(ctx)
}
