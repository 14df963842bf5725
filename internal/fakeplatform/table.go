package fakeplatform

import (
	"bytes"
	"slices"
	"strings"

	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// table keeps rows. Its versions come from one counter, so that none is used
// twice, whatever is deleted.
type table struct {
	rows    map[string]storer.Row
	keys    sortedKeys
	version int64
}

func newTable() table { return table{rows: map[string]storer.Row{}} }

// holds says whether all conditions hold.
func (t *table) holds(conditions []storer.Condition) bool {
	for _, c := range conditions {
		if t.rows[c.Key].Version != c.Version {
			return false
		}
	}
	return true
}

// apply does the writes in order.
func (t *table) apply(writes []storer.Write) storer.Result {
	result := storer.Result{Versions: map[string]int64{}}
	for _, w := range writes {
		if w.Delete {
			t.remove(w.Key)
			delete(result.Versions, w.Key)
			continue
		}
		result.Versions[w.Key] = t.set(w.Key, w.Value)
	}
	return result
}

func (t *table) set(key string, value []byte) int64 {
	t.version++
	t.rows[key] = storer.Row{Key: key, Value: bytes.Clone(value), Version: t.version}
	t.keys.insert(key)
	return t.version
}

func (t *table) remove(key string) {
	delete(t.rows, key)
	t.keys.remove(key)
}

func (t *table) read(keys []string) []storer.Row {
	rows := make([]storer.Row, 0, len(keys))
	for _, key := range keys {
		rows = append(rows, t.row(key))
	}
	return rows
}

// row returns a copy of the row, with Version 0 if it is absent.
func (t *table) row(key string) storer.Row {
	row := t.rows[key]
	row.Key = key
	row.Value = bytes.Clone(row.Value)
	return row
}

func (t *table) scan(prefix, after string, limit int) []storer.Row {
	return t.read(t.keys.withPrefix(prefix, after, limit))
}

// objects keeps whole objects.
type objects struct {
	bodies map[string][]byte
	keys   sortedKeys
}

func newObjects() objects { return objects{bodies: map[string][]byte{}} }

func (o *objects) put(key string, body []byte) {
	o.bodies[key] = append([]byte{}, body...)
	o.keys.insert(key)
}

func (o *objects) get(key string) ([]byte, error) {
	body, ok := o.bodies[key]
	if !ok {
		return nil, storer.ErrNotFound
	}
	return append([]byte{}, body...), nil
}

func (o *objects) remove(key string) {
	delete(o.bodies, key)
	o.keys.remove(key)
}

func (o *objects) list(prefix string, limit int) []string {
	return o.keys.withPrefix(prefix, "", limit)
}

// sortedKeys is a set of keys in order.
type sortedKeys struct{ keys []string }

func (s *sortedKeys) insert(key string) {
	if i, found := slices.BinarySearch(s.keys, key); !found {
		s.keys = slices.Insert(s.keys, i, key)
	}
}

func (s *sortedKeys) remove(key string) {
	if i, found := slices.BinarySearch(s.keys, key); found {
		s.keys = slices.Delete(s.keys, i, i+1)
	}
}

// withPrefix returns the keys with the prefix that come after the key given.
func (s *sortedKeys) withPrefix(prefix, after string, limit int) []string {
	found := []string{}
	start, _ := slices.BinarySearch(s.keys, max(prefix, after))
	for _, key := range s.keys[start:] {
		if key == after && after != "" {
			continue
		}
		full := limit > 0 && len(found) == limit
		if full || !strings.HasPrefix(key, prefix) {
			break
		}
		found = append(found, key)
	}
	return found
}
