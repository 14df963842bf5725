package publisher

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// change is one request to make a new version.
type change struct {
	request Request
	kind    string
	digest  string
	// plan returns the edits to apply to the head. It is called again for each
	// attempt, as the head may have changed.
	plan func(ctx context.Context, head *Manifest) ([]SectionEdit, error)
}

// digestInput is the part of an edit that identifies it. It leaves out files, lines
// and base revisions, which may differ when a command is repeated.
type digestInput struct {
	Kind  string
	Edits []SectionEdit
	To    int64
}

// editDigest returns a digest of the edit's contents, independent of the operator.
func editDigest(kind string, edits []SectionEdit, to int64) string {
	same := digestInput{Kind: kind, To: to}
	for _, edit := range edits {
		same.Edits = append(same.Edits, SectionEdit{Section: edit.Section, Text: edit.Text})
	}
	body, err := json.Marshal(same)
	if err != nil {
		panic(err)
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// snapshot is the state of the rows that an edit depends on, from a single read.
type snapshot struct {
	head Manifest
	// headRowVersion is the store's version of the head row.
	headRowVersion int64
	// record is nil if the edit has not been accepted.
	record *editRecord
}

func (p *Publisher) snapshot(ctx context.Context, editID string) (snapshot, error) {
	rows, err := p.table.Read(ctx, headKey, editKey(editID))
	if err != nil {
		return snapshot{}, err
	}
	s := snapshot{headRowVersion: rows[0].Version}
	if rows[0].Version != 0 {
		if err := decode(rows[0].Value, &s.head); err != nil {
			return snapshot{}, err
		}
	}
	if rows[1].Version != 0 {
		s.record = &editRecord{}
		if err := decode(rows[1].Value, s.record); err != nil {
			return snapshot{}, err
		}
	}
	return s, nil
}

// operation is the state of one call of Publisher.change.
type operation struct {
	*Publisher
	change
	// headRowVersion is the head row's version in the last snapshot; isRecorded
	// reports whether the snapshot contained the edit's row.
	headRowVersion int64
	isRecorded     bool
	// inDoubtRowVersion is the highest head row version that a write in doubt was
	// conditional on. While the head row has that version the write may still take
	// effect.
	inDoubtRowVersion int64
	hasWriteInDoubt   bool
}

// change commits the request as a new version. Retrying a write in doubt is safe,
// as the conditions on the head row and the edit's row let at most one write
// succeed.
func (p *Publisher) change(ctx context.Context, c change) (Result, error) {
	if c.request.EditID == "" {
		return Result{}, answerer.New(answerer.BadRequest, "an edit needs an EditID")
	}
	ctx, cancel := context.WithTimeout(storer.WithPriority(ctx, storer.PriorityDocument), p.timeout)
	defer cancel()
	o := &operation{Publisher: p, change: c}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialRetryInterval
	retry.MaxInterval = maxRetryInterval
	for {
		result, err := o.attempt(ctx)
		if err == nil {
			return result, nil
		}
		if !isTransient(err) && o.confirmRefusal(ctx) {
			return Result{}, err
		}
		if !sleep(ctx, retry.NextBackOff()) {
			return Result{}, o.timeoutError(err)
		}
		p.meter.Retries.WithLabelValues(retryReason(err), "Store").Inc()
	}
}

// retryReason returns the metric label for the cause of a retry.
func retryReason(err error) string {
	switch {
	case errors.Is(err, storer.ErrConflict):
		return "Conflict"
	case errors.Is(err, storer.ErrInDoubt):
		return "InDoubt"
	case errors.Is(err, errStale):
		return "Stale"
	case !isTransient(err):
		return "Unconfirmed"
	}
	return "Unavailable"
}

// isTransient reports whether a retry may succeed.
func isTransient(err error) bool {
	var refusal *answerer.Error
	return !errors.As(err, &refusal) || refusal.Kind == answerer.StoreUnavailable
}

// confirmRefusal reports whether a refusal is final. A commit without writes
// checks that the snapshot that led to the refusal is the newest state, so that no
// write in doubt and no earlier request of the same edit has taken effect or can
// still do so.
func (o *operation) confirmRefusal(ctx context.Context) bool {
	if o.isRecorded || o.request.DryRun {
		return true
	}
	if o.hasWriteInDoubt && o.headRowVersion <= o.inDoubtRowVersion {
		return false
	}
	_, err := o.table.Commit(ctx, storer.Commit{ID: o.request.EditID, Conditions: o.conditions()})
	return err == nil
}

// conditions returns conditions that hold while the last snapshot is the newest
// state.
func (o *operation) conditions() []storer.Condition {
	return []storer.Condition{
		{Key: headKey, Version: o.headRowVersion},
		{Key: editKey(o.request.EditID)},
	}
}

// sleep waits and returns false if the context ended first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (o *operation) timeoutError(cause error) error {
	if o.hasWriteInDoubt {
		return answerer.Wrap(answerer.OutcomeUnknown, cause,
			"the outcome of edit %s is unknown; repeat the request with the same EditID to learn it", o.request.EditID)
	}
	return answerer.Wrap(answerer.StoreUnavailable, cause,
		"this request for edit %s changed nothing: the store is unavailable", o.request.EditID)
}

// attempt performs the operation once. An error without a kind is transient.
func (o *operation) attempt(ctx context.Context) (Result, error) {
	s, err := o.snapshot(ctx, o.request.EditID)
	if err != nil {
		return Result{}, err
	}
	o.headRowVersion, o.isRecorded = s.headRowVersion, s.record != nil
	if s.record != nil {
		return o.replay(s.record)
	}
	edits, err := o.plan(ctx, &s.head)
	if err != nil {
		return Result{}, err
	}
	if err := o.authorize(edits); err != nil {
		return Result{}, err
	}
	return o.accept(ctx, s, edits)
}

func (o *operation) replay(earlier *editRecord) (Result, error) {
	if earlier.Digest != o.digest {
		return Result{}, answerer.New(answerer.KeyReused, "EditID %s was used for another edit", o.request.EditID)
	}
	result := earlier.Result
	result.Replayed = true
	return result, nil
}

func (o *operation) authorize(edits []SectionEdit) error {
	for _, edit := range edits {
		if o.request.MayChange != nil && !o.request.MayChange(edit.Section) {
			return answerer.New(answerer.Forbidden, "operator %s may not change section %s", o.request.Operator, edit.Section)
		}
	}
	return nil
}

// accept validates the merged document and commits it as the newest version.
func (o *operation) accept(ctx context.Context, s snapshot, edits []SectionEdit) (Result, error) {
	merged, err := o.merge(ctx, &s.head, edits)
	if err != nil {
		return Result{}, err
	}
	if _, err := o.compiler.Compile(merged.document); err != nil {
		return Result{}, answerer.Wrap(answerer.DocumentInvalid, err, "the edited document is invalid")
	}
	result := Result{
		EditID:    o.request.EditID,
		Version:   merged.manifest.Version,
		Changed:   editedSections(edits),
		Revisions: merged.manifest.Revisions(),
		Diff:      merged.diff,
		DryRun:    o.request.DryRun,
	}
	if o.request.DryRun {
		return result, nil
	}
	for _, object := range merged.objects {
		if err := o.texts.put(ctx, object); err != nil {
			return Result{}, err
		}
	}
	if err := o.commit(ctx, s, merged.manifest, result); err != nil {
		return Result{}, err
	}
	o.onAccepted(result.Version)
	return result, nil
}

// commit accepts a version by a single conditional write. An edit that changes
// nothing is recorded without changing the head.
func (o *operation) commit(ctx context.Context, s snapshot, manifest Manifest, result Result) error {
	// The diff is left out to keep rows small; it can be computed from the texts.
	result.Diff = ""
	edit, err := encode(editRecord{Digest: o.digest, Result: result})
	if err != nil {
		return err
	}
	commit := storer.Commit{
		ID:         o.request.EditID,
		Conditions: o.conditions(),
		Writes:     []storer.Write{{Key: editKey(o.request.EditID), Value: edit}},
	}
	if manifest.Version != s.head.Version {
		head, err := encode(manifest)
		if err != nil {
			return err
		}
		commit.Writes = append(commit.Writes,
			storer.Write{Key: headKey, Value: head},
			storer.Write{Key: versionKey(manifest.Version), Value: head})
	}
	_, err = o.table.Commit(ctx, commit)
	if err != nil && !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUnavailable) {
		o.hasWriteInDoubt = true
		o.inDoubtRowVersion = max(o.inDoubtRowVersion, s.headRowVersion)
	}
	return err
}

// mergeResult is the document that results from applying edits to the head.
type mergeResult struct {
	manifest Manifest
	document compiler.Document
	objects  []textObject
	diff     string
}

func (o *operation) merge(ctx context.Context, head *Manifest, edits []SectionEdit) (mergeResult, error) {
	document, err := o.texts.document(ctx, head)
	if err != nil {
		return mergeResult{}, err
	}
	m := mergeResult{manifest: *head, document: document}
	if len(edits) == 0 {
		return m, nil
	}
	m.manifest = Manifest{
		Version:  head.Version + 1,
		EditID:   o.request.EditID,
		Operator: o.request.Operator,
		Kind:     o.kind,
		Changed:  editedSections(edits),
		At:       time.Now().UTC(),
	}
	m.document = compiler.Document{Number: m.manifest.Version}
	for _, name := range compiler.SectionNames() {
		if err := o.mergeSection(ctx, &m, head.Section(name), document, edits); err != nil {
			return mergeResult{}, err
		}
	}
	return m, nil
}

func (o *operation) mergeSection(ctx context.Context, m *mergeResult, state SectionState, document compiler.Document, edits []SectionEdit) error {
	for _, edit := range edits {
		if edit.Section != state.Section {
			continue
		}
		older, err := o.texts.text(ctx, state)
		if err != nil {
			return err
		}
		m.replaceSection(state, older, edit)
		return nil
	}
	if section, ok := document.Section(state.Section); ok {
		m.document.Sections = append(m.document.Sections, section)
	}
	if state.Revision != 0 {
		m.manifest.Sections = append(m.manifest.Sections, state)
	}
	return nil
}

// replaceSection adds an edited section to the merged document.
func (m *mergeResult) replaceSection(state SectionState, older string, edit SectionEdit) {
	next := SectionState{
		Section:  edit.Section,
		Revision: m.manifest.Version,
		Author:   m.manifest.Operator,
		At:       m.manifest.At,
	}
	text := ""
	if edit.Text != "" {
		text = compiler.NormalizeText(edit.Text)
		next.Hash = textHash(edit.Text)
		next.Object = objectKey(edit.Section, next.Hash)
		m.objects = append(m.objects, textObject{next.Object, text})
		m.document.Sections = append(m.document.Sections, compiler.Section{
			Name: edit.Section, File: fileName(edit), Line: edit.Line, Text: edit.Text,
		})
	}
	m.manifest.Sections = append(m.manifest.Sections, next)
	m.diff += unifiedDiff(edit.Section, state.Revision, older, next.Revision, text)
}

func fileName(edit SectionEdit) string {
	if edit.File != "" {
		return edit.File
	}
	return fmt.Sprintf("%s.yaml", edit.Section)
}
