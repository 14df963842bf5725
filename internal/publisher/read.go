package publisher

import (
	"context"
	"errors"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// MaxHistory is the largest number of versions that History returns at once.
const MaxHistory = 100

// Head returns the manifest of the newest version. Its Version is zero if no edit
// has been accepted.
func (p *Publisher) Head(ctx context.Context) (*Manifest, error) {
	rows, err := p.table.Read(storer.WithPriority(ctx, storer.PriorityDocument), headKey)
	if err != nil {
		return nil, asReadError(err)
	}
	manifest := &Manifest{}
	if rows[0].Version == 0 {
		return manifest, nil
	}
	return manifest, decode(rows[0].Value, manifest)
}

// Manifest returns the manifest of an accepted version; number zero is the empty
// document.
func (p *Publisher) Manifest(ctx context.Context, number int64) (*Manifest, error) {
	if number == 0 {
		return &Manifest{}, nil
	}
	manifests, err := p.manifests(ctx, number, number)
	if err != nil {
		return nil, err
	}
	if len(manifests) == 0 {
		return nil, answerer.New(answerer.NotFound, "version %d does not exist", number)
	}
	return &manifests[0], nil
}

// manifestBefore returns the manifest of a version. If the version is missing
// although it is not newer than the head, the read was stale and manifestBefore
// returns errStale.
func (p *Publisher) manifestBefore(ctx context.Context, number int64, head *Manifest) (*Manifest, error) {
	manifest, err := p.Manifest(ctx, number)
	if number <= head.Version && answerer.KindOf(err) == answerer.NotFound {
		return nil, errStale
	}
	return manifest, err
}

// manifests returns the existing versions from newest down to oldest.
func (p *Publisher) manifests(ctx context.Context, newest, oldest int64) ([]Manifest, error) {
	var keys []string
	for number := newest; number >= oldest; number-- {
		keys = append(keys, versionKey(number))
	}
	rows, err := p.table.Read(storer.WithPriority(ctx, storer.PriorityDocument), keys...)
	if err != nil {
		return nil, asReadError(err)
	}
	var manifests []Manifest
	for _, row := range rows {
		if row.Version == 0 {
			continue
		}
		var manifest Manifest
		if err := decode(row.Value, &manifest); err != nil {
			return nil, err
		}
		manifests = append(manifests, manifest)
	}
	return manifests, nil
}

// History returns up to limit versions that are older than before, newest first;
// if before is zero or less it starts at the newest version. The limit is clamped
// to the range from 1 to MaxHistory.
func (p *Publisher) History(ctx context.Context, before int64, limit int) ([]Manifest, error) {
	newest := before - 1
	if before <= 0 {
		head, err := p.Head(ctx)
		if err != nil {
			return nil, err
		}
		newest = head.Version
	}
	if newest < 1 {
		return nil, nil
	}
	limit = min(max(limit, 1), MaxHistory)
	return p.manifests(ctx, newest, max(newest-int64(limit)+1, 1))
}

// Show returns a version with its section texts; number zero stands for the newest
// version.
func (p *Publisher) Show(ctx context.Context, number int64) (*Manifest, compiler.Document, error) {
	manifest, err := p.Head(ctx)
	if err != nil {
		return nil, compiler.Document{}, err
	}
	if number != 0 && number != manifest.Version {
		if manifest, err = p.Manifest(ctx, number); err != nil {
			return nil, compiler.Document{}, err
		}
	}
	document, err := p.texts.document(ctx, manifest)
	if err != nil {
		return nil, compiler.Document{}, asReadError(err)
	}
	return manifest, document, nil
}

// Diff returns the unified diff between two versions.
func (p *Publisher) Diff(ctx context.Context, from, to int64) (string, error) {
	older, err := p.Manifest(ctx, from)
	if err != nil {
		return "", err
	}
	newer, err := p.Manifest(ctx, to)
	if err != nil {
		return "", err
	}
	shown, err := p.diffVersions(ctx, older, newer)
	if err != nil {
		return "", asReadError(err)
	}
	return shown, nil
}

// asReadError gives err the kind StoreUnavailable if it has no kind.
func asReadError(err error) error {
	var refusal *answerer.Error
	if errors.As(err, &refusal) {
		return err
	}
	return answerer.Wrap(answerer.StoreUnavailable, err, "reading the document from the store failed")
}
