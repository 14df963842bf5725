package committer

import (
	"context"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/wigeonstand/wigeonstand/internal/sharder"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	// maxParallelReads is the maximum number of objects read in parallel.
	maxParallelReads = 16
	// listLimit is the maximum number of keys in a listing of a generation's objects.
	listLimit = 10000
	// scanLimit is the page size of a scan of a generation's rows.
	scanLimit = 200
)

// Source identifies a range of one generation's journal: the sequences greater than
// After, up to and including UpTo.
type Source struct {
	Instance   string
	Generation int64
	After      int64
	UpTo       int64
}

// VisitFunc is called by Read for each entry.
type VisitFunc func(sequence int64, entry sharder.Entry) error

// Read calls visit for the source's entries whose shard is selected by shards, in
// order. UpTo must be committed and the last sequence of a batch. A missing batch, a
// gap in the sequences or a checksum mismatch is an error; the caller must then
// discard the entries visited so far.
func Read(ctx context.Context, store Store, source Source, shards func(int) bool, visit VisitFunc) error {
	if source.UpTo <= source.After {
		return nil
	}
	r := &reader{store: store, source: source, bodies: map[string][]byte{}}
	chain, err := r.chain(ctx)
	if err != nil {
		return err
	}
	for i := len(chain) - 1; i >= 0; i-- {
		if err := visitBatch(chain[i], source, shards, visit); err != nil {
			return err
		}
	}
	return nil
}

// Store holds journals: small batches as rows, large ones as objects.
type Store struct {
	Table   storer.Table
	Objects storer.Objects
}

// reader reads the batches of one source.
type reader struct {
	store  Store
	source Source
	// bodies holds prefetched batches by key.
	bodies map[string][]byte
	listed bool
}

// chain returns the source's batches, the last one first. The first sequence of a
// batch determines the key of the one before it; scans and listings only serve to
// prefetch.
func (r *reader) chain(ctx context.Context) ([]Batch, error) {
	if err := r.scanRows(ctx); err != nil {
		return nil, err
	}
	var chain []Batch
	for last := r.source.UpTo; last > r.source.After; {
		key := r.key(last)
		body, err := r.body(ctx, key)
		if err != nil {
			return nil, eris.Wrapf(err, "read journal batch %s", key)
		}
		batch, err := decode(body, r.source.Instance, r.source.Generation, last)
		if err != nil {
			return nil, eris.Wrapf(err, "journal batch %s", key)
		}
		chain = append(chain, batch)
		last = batch.First - 1
	}
	return chain, nil
}

func (r *reader) key(last int64) string {
	return BatchKey(r.source.Instance, r.source.Generation, last)
}

func (r *reader) prefix() string {
	return GenerationPrefix(r.source.Instance, r.source.Generation)
}

// body returns the encoded batch with the key. The first batch that is not a row
// triggers the prefetch of the objects.
func (r *reader) body(ctx context.Context, key string) ([]byte, error) {
	if body, ok := r.bodies[key]; ok {
		return body, nil
	}
	if !r.listed {
		if err := r.readObjects(ctx); err != nil {
			return nil, err
		}
		r.listed = true
	}
	if body, ok := r.bodies[key]; ok {
		return body, nil
	}
	return r.store.Objects.Get(ctx, key)
}

// scanRows prefetches the source's batches that are stored as rows.
func (r *reader) scanRows(ctx context.Context) error {
	after, upTo := r.key(r.source.After), r.key(r.source.UpTo)
	for {
		rows, err := r.store.Table.Scan(ctx, r.prefix(), after, scanLimit)
		if err != nil {
			return eris.Wrapf(err, "scan %s", r.prefix())
		}
		for _, row := range rows {
			r.bodies[row.Key] = row.Value
			after = row.Key
		}
		if len(rows) < scanLimit || after >= upTo {
			return nil
		}
	}
}

// readObjects prefetches the source's batches that are stored as objects.
func (r *reader) readObjects(ctx context.Context) error {
	keys, err := r.store.Objects.List(ctx, r.prefix(), listLimit)
	if err != nil {
		return eris.Wrapf(err, "list %s", r.prefix())
	}
	after, upTo := r.key(r.source.After), r.key(r.source.UpTo)
	bodies := make([][]byte, len(keys))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelReads)
	for i, key := range keys {
		if key <= after || key > upTo {
			continue
		}
		group.Go(func() (err error) {
			bodies[i], err = r.store.Objects.Get(ctx, key)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return eris.Wrapf(err, "read %s", r.prefix())
	}
	for i, key := range keys {
		if bodies[i] != nil {
			r.bodies[key] = bodies[i]
		}
	}
	return nil
}

func visitBatch(batch Batch, source Source, shards func(int) bool, visit VisitFunc) error {
	for _, record := range batch.Records {
		if record.Sequence <= source.After || record.Sequence > source.UpTo {
			continue
		}
		for _, entry := range record.Entries {
			if !shards(entry.Shard) {
				continue
			}
			if err := visit(record.Sequence, entry); err != nil {
				return err
			}
		}
	}
	return nil
}
