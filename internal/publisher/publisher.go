// Package publisher accepts edits of the configuration document and distributes
// the accepted versions to the instances. Publisher writes versions to the
// store; Follower keeps an instance's copy of the newest version. Both are safe
// for concurrent use. Package compiler validates documents, and the caller
// supplies the permission check.
package publisher

import (
	"context"
	"slices"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/meter"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const (
	defaultEditTimeout   = 15 * time.Second
	initialRetryInterval = 20 * time.Millisecond
	maxRetryInterval     = time.Second
)

// Publisher accepts edits and reads accepted versions. It is safe for concurrent use.
type Publisher struct {
	table      storer.Table
	texts      *textStore
	compiler   *compiler.Compiler
	timeout    time.Duration
	onAccepted func(version int64)
	meter      *meter.Meter
}

// Option sets one property of a Publisher.
type Option func(*Publisher)

// WithTimeout sets the time limit of one edit, retries included. The default is 15 s.
func WithTimeout(timeout time.Duration) Option {
	return func(p *Publisher) { p.timeout = timeout }
}

// WithOnAccepted sets a function that is called with each version that this
// Publisher has committed.
func WithOnAccepted(accepted func(version int64)) Option {
	return func(p *Publisher) { p.onAccepted = accepted }
}

// WithMeter sets the meter that counts retries by reason.
func WithMeter(m *meter.Meter) Option {
	return func(p *Publisher) { p.meter = m }
}

// New returns a Publisher that stores manifests in the table and section texts in
// the objects.
func New(table storer.Table, objects storer.Objects, options ...Option) *Publisher {
	p := &Publisher{
		table:      table,
		texts:      newTextStore(objects),
		compiler:   compiler.New(),
		timeout:    defaultEditTimeout,
		onAccepted: func(int64) {},
		meter:      meter.New(),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// SectionEdit replaces the text of one section.
type SectionEdit struct {
	Section string
	// BaseRevision is the revision that the edit is based on; zero for a section
	// that did not exist.
	BaseRevision int64
	// File and Line locate the text in the operator's file, for error messages.
	File string
	Line int
	// Text is the complete new text; an empty text removes the section.
	Text string
}

// Request holds the parameters that Edit, Apply and Rollback share.
type Request struct {
	Operator string
	// EditID is the idempotency key of the request.
	EditID string
	// DryRun validates the request without committing a version.
	DryRun bool
	// MayChange says whether the operator may change the section; nil permits all.
	MayChange func(section string) bool
}

// Edit is a request to replace one section.
type Edit struct {
	Request
	SectionEdit
}

// Edit replaces one section. It returns an error of kind RevisionConflict if the
// section has changed since the base revision. Edits of other sections do not
// conflict.
func (p *Publisher) Edit(ctx context.Context, edit Edit) (Result, error) {
	if !slices.Contains(compiler.SectionNames(), edit.Section) {
		return Result{}, answerer.New(answerer.NotFound, "unknown section %q", edit.Section)
	}
	edits := []SectionEdit{edit.SectionEdit}
	return p.change(ctx, change{
		request: edit.Request,
		kind:    KindEdit,
		digest:  editDigest(KindEdit, edits, 0),
		plan: func(_ context.Context, head *Manifest) ([]SectionEdit, error) {
			return edits, p.checkBase(ctx, head, edits)
		},
	})
}

// Apply is a request to replace the sections whose text differs from the newest
// version. Sections with equal text and sections that are not listed stay
// unchanged.
type Apply struct {
	Request
	Sections []SectionEdit
}

// Apply replaces several sections atomically, as one version.
func (p *Publisher) Apply(ctx context.Context, apply Apply) (Result, error) {
	for i, edit := range apply.Sections {
		if !slices.Contains(compiler.SectionNames(), edit.Section) {
			return Result{}, answerer.New(answerer.BadRequest, "unknown section %q", edit.Section)
		}
		same := func(e SectionEdit) bool { return e.Section == edit.Section }
		if slices.ContainsFunc(apply.Sections[:i], same) {
			return Result{}, answerer.New(answerer.BadRequest, "section %s is listed twice", edit.Section)
		}
	}
	return p.change(ctx, change{
		request: apply.Request,
		kind:    KindApply,
		digest:  editDigest(KindApply, apply.Sections, 0),
		plan: func(ctx context.Context, head *Manifest) ([]SectionEdit, error) {
			edits := changedEdits(head, apply.Sections)
			return edits, p.checkBase(ctx, head, edits)
		},
	})
}

// Rollback is a request to restore the contents of an older version.
type Rollback struct {
	Request
	// To is the version whose contents are restored.
	To int64
	// Base is the newest version known to the operator; if there is a newer one
	// the rollback fails with kind RevisionConflict.
	Base int64
}

// Rollback creates a new version with the contents of an older one.
func (p *Publisher) Rollback(ctx context.Context, rollback Rollback) (Result, error) {
	return p.change(ctx, change{
		request: rollback.Request,
		kind:    KindRollback,
		digest:  editDigest(KindRollback, nil, rollback.To),
		plan: func(ctx context.Context, head *Manifest) ([]SectionEdit, error) {
			return p.planRollback(ctx, head, rollback)
		},
	})
}

func (p *Publisher) planRollback(ctx context.Context, head *Manifest, rollback Rollback) ([]SectionEdit, error) {
	if rollback.Base > head.Version {
		return nil, answerer.New(answerer.BadRequest, "version %d does not exist; the newest is %d", rollback.Base, head.Version)
	}
	if rollback.Base < head.Version {
		conflict, err := p.versionConflict(ctx, rollback.Base, head)
		if err != nil {
			return nil, err
		}
		return nil, conflict
	}
	target, err := p.manifestBefore(ctx, rollback.To, head)
	if err != nil {
		return nil, err
	}
	var edits []SectionEdit
	for _, name := range compiler.SectionNames() {
		text, err := p.texts.text(ctx, target.Section(name))
		if err != nil {
			return nil, err
		}
		edits = append(edits, SectionEdit{Section: name, BaseRevision: head.Section(name).Revision, File: name, Text: text})
	}
	return changedEdits(head, edits), nil
}

// changedEdits returns the edits whose text differs from the newest version.
func changedEdits(head *Manifest, edits []SectionEdit) []SectionEdit {
	var changed []SectionEdit
	for _, edit := range edits {
		if textHash(edit.Text) != head.Section(edit.Section).Hash {
			changed = append(changed, edit)
		}
	}
	return changed
}

// textHash returns the hash of the normalized text, or "" for an empty text.
func textHash(text string) string {
	if text == "" {
		return ""
	}
	return compiler.HashKey(compiler.NormalizeText(text))
}
