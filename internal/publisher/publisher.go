// Package publisher owns the acceptance of edits of the operators' document and
// the spreading of accepted versions to the instances. It does not own what a
// document means, nor who may edit it.
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
	defaultTimeout    = 15 * time.Second
	defaultRetryFirst = 20 * time.Millisecond
	defaultRetryMost  = time.Second
)

// Publisher accepts edits. It is safe for concurrent use.
type Publisher struct {
	table    storer.Table
	texts    *texts
	compiler *compiler.Compiler
	timeout  time.Duration
	accepted func(version int64)
	meter    *meter.Meter
}

// Option sets one property of a Publisher.
type Option func(*Publisher)

// WithTimeout bounds how long an edit waits for the store.
func WithTimeout(timeout time.Duration) Option {
	return func(p *Publisher) { p.timeout = timeout }
}

// WithOnAccepted names a function that is told each version that this Publisher made.
func WithOnAccepted(accepted func(version int64)) Option {
	return func(p *Publisher) { p.accepted = accepted }
}

// WithMeter sets where repeated attempts are counted.
func WithMeter(m *meter.Meter) Option {
	return func(p *Publisher) { p.meter = m }
}

// New returns a Publisher that keeps the document in the table and the objects.
func New(table storer.Table, objects storer.Objects, options ...Option) *Publisher {
	p := &Publisher{
		table:    table,
		texts:    newTexts(objects),
		compiler: compiler.New(),
		timeout:  defaultTimeout,
		accepted: func(int64) {},
		meter:    meter.New(),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// SectionEdit replaces the text of one section.
type SectionEdit struct {
	Section string
	// BaseRevision is the revision that the text was made from; zero for a
	// section that did not exist.
	BaseRevision int64
	// File and Line say where the text stands, for errors.
	File string
	Line int
	// Text is the whole new text; an empty one removes the section.
	Text string
}

// Request is what all ways to change the document have in common.
type Request struct {
	Operator string
	// EditID makes the request idempotent.
	EditID string
	// DryRun checks the request and accepts nothing.
	DryRun bool
	// MayChange says whether the operator may change the section; nil permits all.
	MayChange func(section string) bool
}

// Edit replaces one section.
type Edit struct {
	Request
	SectionEdit
}

// Edit replaces one section, provided that nobody else has changed it since
// the base revision. Edits of other sections do not stand in the way.
func (p *Publisher) Edit(ctx context.Context, edit Edit) (Result, error) {
	if !slices.Contains(compiler.SectionNames(), edit.Section) {
		return Result{}, answerer.New(answerer.NotFound, "unknown section %q", edit.Section)
	}
	edits := []SectionEdit{edit.SectionEdit}
	return p.change(ctx, change{
		request: edit.Request,
		kind:    KindEdit,
		digest:  digestOf(KindEdit, edits, 0),
		plan: func(_ context.Context, head *Manifest) ([]SectionEdit, error) {
			return edits, p.checkBase(ctx, head, edits)
		},
	})
}

// Apply replaces the sections that differ from the document in force and
// leaves the others, and sections that are not given, as they are.
type Apply struct {
	Request
	Sections []SectionEdit
}

// Apply replaces several sections as one version, or none of them.
func (p *Publisher) Apply(ctx context.Context, apply Apply) (Result, error) {
	for i, edit := range apply.Sections {
		if !slices.Contains(compiler.SectionNames(), edit.Section) {
			return Result{}, answerer.New(answerer.BadRequest, "unknown section %q", edit.Section)
		}
		same := func(e SectionEdit) bool { return e.Section == edit.Section }
		if slices.ContainsFunc(apply.Sections[:i], same) {
			return Result{}, answerer.New(answerer.BadRequest, "section %s is given twice", edit.Section)
		}
	}
	return p.change(ctx, change{
		request: apply.Request,
		kind:    KindApply,
		digest:  digestOf(KindApply, apply.Sections, 0),
		plan: func(ctx context.Context, head *Manifest) ([]SectionEdit, error) {
			edits := differing(head, apply.Sections)
			return edits, p.checkBase(ctx, head, edits)
		},
	})
}

// Rollback makes a new version with the contents of an older one.
type Rollback struct {
	Request
	// To is the version whose contents are wanted.
	To int64
	// Base is the newest version that the operator has seen; the rollback is
	// refused if there is a newer one.
	Base int64
}

// Rollback makes a new version with the contents of an older one.
func (p *Publisher) Rollback(ctx context.Context, rollback Rollback) (Result, error) {
	return p.change(ctx, change{
		request: rollback.Request,
		kind:    KindRollback,
		digest:  digestOf(KindRollback, nil, rollback.To),
		plan: func(ctx context.Context, head *Manifest) ([]SectionEdit, error) {
			return p.planRollback(ctx, head, rollback)
		},
	})
}

func (p *Publisher) planRollback(ctx context.Context, head *Manifest, rollback Rollback) ([]SectionEdit, error) {
	if rollback.Base > head.Version {
		return nil, answerer.New(answerer.BadRequest, "there is no version %d; the newest is %d", rollback.Base, head.Version)
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
	return differing(head, edits), nil
}

// differing returns the edits whose text is not the one in force.
func differing(head *Manifest, edits []SectionEdit) []SectionEdit {
	var rest []SectionEdit
	for _, edit := range edits {
		if textHash(edit.Text) != head.Section(edit.Section).Hash {
			rest = append(rest, edit)
		}
	}
	return rest
}

// textHash returns the hash of a text as it is kept; that of no text is empty.
func textHash(text string) string {
	if text == "" {
		return ""
	}
	return compiler.HashKey(compiler.NormalizeText(text))
}
