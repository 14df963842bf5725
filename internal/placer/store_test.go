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

// memory is an in-memory table and object store that checks the invariants of every
// write.
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
		m.checkWrite(w)
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

// checkWrite records a violation if a write decreases a generation or a head, does not
// increment the epoch by one, or changes the owner of a shard whose owner may still
// commit.
func (m *memory) checkWrite(w storer.Write) {
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
		m.violation("shard %d: owner changed to %+v from %+v, which may still commit", is.Shard, next, owner)
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

// storeClient is one instance's connection to the store. Its faults affect only that
// instance.
type storeClient struct {
	*memory

	mu sync.Mutex
	// loseResponses and delayWrites are numbers of following writes whose response is
	// lost. A delayed write takes effect only delayedWriteTime after that.
	loseResponses, delayWrites int
	disconnected               bool
	// paused is non-nil while the instance is paused, and closed when it resumes.
	paused chan struct{}
	// beforeCommit, if set, is called with each commit before it is sent.
	beforeCommit func(commit storer.Commit)
}

const (
	storeDelay       = 2 * time.Millisecond
	delayedWriteTime = 3 * time.Second
)

// beginCall waits while the instance is paused and returns ErrUnavailable if the store
// cannot be reached.
func (l *storeClient) beginCall(ctx context.Context) error {
	for {
		l.mu.Lock()
		paused, disconnected := l.paused, l.disconnected
		l.mu.Unlock()
		if paused != nil {
			<-paused
			continue
		}
		l.memory.mu.Lock()
		outage := l.outage
		l.memory.mu.Unlock()
		if disconnected || outage {
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
	if err := l.beginCall(ctx); err != nil {
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
	if err := l.beginCall(ctx); err != nil {
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
	if err := l.beginCall(ctx); err != nil {
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
	if err := l.beginCall(ctx); err != nil {
		return err
	}
	isResponseLost := l.nextOutcome() != succeeded
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	if old, ok := l.objects[key]; ok && string(old) != string(body) {
		l.violation("object %s was overwritten", key)
	}
	l.objects[key] = body
	if isResponseLost {
		return storer.ErrInDoubt
	}
	return nil
}

func (l *storeClient) Get(ctx context.Context, key string) ([]byte, error) {
	l.count(0, 1)
	if err := l.beginCall(ctx); err != nil {
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
	if err := l.beginCall(ctx); err != nil {
		return err
	}
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	delete(l.objects, key)
	return nil
}

func (l *storeClient) List(ctx context.Context, prefix string, limit int) ([]string, error) {
	l.count(0, 1)
	if err := l.beginCall(ctx); err != nil {
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
	return nil, l.beginCall(ctx)
}
