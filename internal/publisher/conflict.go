package publisher

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/diff"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

// errStale means that a read returned an older state than an earlier read of the
// same request. The request is retried.
var errStale = errors.New("stale read: the store returned an older document")

// Conflict describes the accepted change that an edit conflicts with. It is the
// cause of an error of kind RevisionConflict.
type Conflict struct {
	// Section is empty for a rollback that conflicts with a newer version.
	Section string
	// Base is the revision that the refused edit is based on, Revision the newest.
	Base     int64
	Revision int64
	// Author, EditID and At are the operator, edit and time of Revision.
	Author string
	EditID string
	At     time.Time
	// Diff is the unified diff from Base to Revision.
	Diff string
}

// Error implements error.
func (c *Conflict) Error() string {
	what := "section " + c.Section
	if c.Section == "" {
		what = "the document"
	}
	return fmt.Sprintf("%s was changed by %s in version %d (edit %s), after revision %d", what, c.Author, c.Revision, c.EditID, c.Base)
}

func newConflictError(conflicts ...*Conflict) error {
	causes := make([]error, len(conflicts))
	texts := make([]string, len(conflicts))
	for i, conflict := range conflicts {
		causes[i] = conflict
		texts[i] = conflict.Error()
	}
	return answerer.Wrap(answerer.RevisionConflict, errors.Join(causes...), "%s", strings.Join(texts, "; "))
}

// Conflicts returns the conflicts that err wraps, or nil if there are none.
func Conflicts(err error) []*Conflict {
	var conflict *Conflict
	if !errors.As(err, &conflict) {
		return nil
	}
	var refusal *answerer.Error
	if !errors.As(err, &refusal) {
		return []*Conflict{conflict}
	}
	joined, ok := refusal.Cause.(interface{ Unwrap() []error })
	if !ok {
		return []*Conflict{conflict}
	}
	var conflicts []*Conflict
	for _, cause := range joined.Unwrap() {
		if errors.As(cause, &conflict) {
			conflicts = append(conflicts, conflict)
		}
	}
	return conflicts
}

// checkBase refuses edits of sections that have changed since their base revision.
// The error lists all conflicts.
func (p *Publisher) checkBase(ctx context.Context, head *Manifest, edits []SectionEdit) error {
	var conflicts []*Conflict
	for _, edit := range edits {
		current := head.Section(edit.Section)
		if edit.BaseRevision > current.Revision {
			return answerer.New(answerer.BadRequest, "section %s has no revision %d; the newest is %d",
				edit.Section, edit.BaseRevision, current.Revision)
		}
		if edit.BaseRevision == current.Revision {
			continue
		}
		conflict, err := p.sectionConflict(ctx, head, edit, current)
		if err != nil {
			return err
		}
		conflicts = append(conflicts, conflict)
	}
	if len(conflicts) > 0 {
		return newConflictError(conflicts...)
	}
	return nil
}

func (p *Publisher) sectionConflict(ctx context.Context, head *Manifest, edit SectionEdit, current SectionState) (*Conflict, error) {
	conflicting, err := p.manifestBefore(ctx, current.Revision, head)
	if err != nil {
		return nil, err
	}
	// If the base is not a revision of this section, the diff starts at the section's
	// state in that version of the document.
	base, err := p.manifestBefore(ctx, edit.BaseRevision, head)
	if err != nil {
		return nil, err
	}
	difference, err := p.diffStates(ctx, base.Section(edit.Section), current)
	if err != nil {
		return nil, err
	}
	return &Conflict{
		Section:  edit.Section,
		Base:     edit.BaseRevision,
		Revision: current.Revision,
		Author:   current.Author,
		EditID:   conflicting.EditID,
		At:       current.At,
		Diff:     difference,
	}, nil
}

// versionConflict returns an error of kind RevisionConflict that describes the
// versions accepted since the base version.
func (p *Publisher) versionConflict(ctx context.Context, base int64, head *Manifest) (error, error) {
	older, err := p.manifestBefore(ctx, base, head)
	if err != nil {
		return nil, err
	}
	difference, err := p.diffVersions(ctx, older, head)
	if err != nil {
		return nil, err
	}
	return newConflictError(&Conflict{
		Base: base, Revision: head.Version, Author: head.Operator, EditID: head.EditID, At: head.At, Diff: difference,
	}), nil
}

func (p *Publisher) diffStates(ctx context.Context, from, to SectionState) (string, error) {
	older, err := p.texts.text(ctx, from)
	if err != nil {
		return "", err
	}
	newer, err := p.texts.text(ctx, to)
	if err != nil {
		return "", err
	}
	return unifiedDiff(from.Section, from.Revision, older, to.Revision, newer), nil
}

func unifiedDiff(section string, fromRevision int64, older string, toRevision int64, newer string) string {
	from := fmt.Sprintf("%s@%d", section, fromRevision)
	to := fmt.Sprintf("%s@%d", section, toRevision)
	return string(diff.Diff(from, []byte(older), to, []byte(newer)))
}

// diffVersions returns the unified diff of all sections that differ.
func (p *Publisher) diffVersions(ctx context.Context, from, to *Manifest) (string, error) {
	var differences strings.Builder
	for _, name := range compiler.SectionNames() {
		if from.Section(name).Hash == to.Section(name).Hash {
			continue
		}
		part, err := p.diffStates(ctx, from.Section(name), to.Section(name))
		if err != nil {
			return "", err
		}
		differences.WriteString(part)
	}
	return differences.String(), nil
}

// editedSections returns the names of the edited sections in document order.
func editedSections(edits []SectionEdit) []string {
	names := []string{}
	for _, name := range compiler.SectionNames() {
		if slices.ContainsFunc(edits, func(e SectionEdit) bool { return e.Section == name }) {
			names = append(names, name)
		}
	}
	return names
}
