package main

import (
	"context"
	"slices"
	"sync"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// store is an in-memory table and object store.
type store struct {
	storer.Table
	storer.Objects
	mu      sync.Mutex
	down    bool
	serial  int64
	rows    map[string]storer.Row
	objects map[string][]byte
}

func newStore() *store {
	return &store{rows: map[string]storer.Row{}, objects: map[string][]byte{}}
}

// lock locks the store and returns an error if it is down.
func (s *store) lock() (unlock func(), err error) {
	s.mu.Lock()
	if s.down {
		err = storer.ErrUnavailable
	}
	return s.mu.Unlock, err
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) Commit(_ context.Context, commit storer.Commit) (storer.Result, error) {
	unlock, err := s.lock()
	defer unlock()
	if err != nil {
		return storer.Result{}, err
	}
	for _, c := range commit.Conditions {
		if s.rows[c.Key].Version != c.Version {
			return storer.Result{}, storer.ErrConflict
		}
	}
	for _, w := range commit.Writes {
		s.serial++
		s.rows[w.Key] = storer.Row{Key: w.Key, Value: w.Value, Version: s.serial}
	}
	return storer.Result{}, nil
}

func (s *store) Read(_ context.Context, keys ...string) ([]storer.Row, error) {
	unlock, err := s.lock()
	defer unlock()
	if err != nil {
		return nil, err
	}
	rows := make([]storer.Row, len(keys))
	for i, key := range keys {
		rows[i] = s.rows[key]
	}
	return rows, nil
}

func (s *store) Put(_ context.Context, key string, body []byte) error {
	unlock, err := s.lock()
	defer unlock()
	s.objects[key] = slices.Clone(body)
	return err
}

func (s *store) Get(_ context.Context, key string) ([]byte, error) {
	unlock, err := s.lock()
	defer unlock()
	body, ok := s.objects[key]
	if err == nil && !ok {
		err = storer.ErrNotFound
	}
	return body, err
}
