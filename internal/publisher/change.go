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
	// plan returns the sections to replace in the head. It is asked again
	// whenever the head has moved.
	plan func(ctx context.Context, head *Manifest) ([]SectionEdit, error)
}

// contents is what makes an edit the same as another one. Where the texts stand
// and which revisions they were made from may differ when a command is repeated.
type contents struct {
	Kind  string
	Edits []SectionEdit
	To    int64
}

// digestOf tells edits apart, whoever sends them.
func digestOf(kind string, edits []SectionEdit, to int64) string {
	same := contents{Kind: kind, To: to}
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

// snapshot is the state of the rows that an edit depends on, read together.
type snapshot struct {
	head Manifest
	// row is the version of the head's row.
	row int64
	// edited is nil if the edit has not been accepted.
	edited *edited
}

func (p *Publisher) snapshot(ctx context.Context, editID string) (snapshot, error) {
	rows, err := p.table.Read(ctx, keyHead, editKey(editID))
	if err != nil {
		return snapshot{}, err
	}
	s := snapshot{row: rows[0].Version}
	if rows[0].Version != 0 {
		if err := decode(rows[0].Value, &s.head); err != nil {
			return snapshot{}, err
		}
	}
	if rows[1].Version != 0 {
		s.edited = &edited{}
		if err := decode(rows[1].Value, s.edited); err != nil {
			return snapshot{}, err
		}
	}
	return s, nil
}

// attempt is the state of one call of change.
type attempt struct {
	*Publisher
	change
	// row is the head row's version in the last snapshot; known says that the
	// edit's row was found there.
	row   int64
	known bool
	// doubted is the head row's version that the last write in doubt was
	// conditional on. While the head still has that version the write may yet
	// take effect.
	doubted int64
	inDoubt bool
}

// change accepts the request as a new version. Repeating a write in doubt is
// safe, as the conditions on the head and the edit's row let one of them pass.
func (p *Publisher) change(ctx context.Context, c change) (Result, error) {
	if c.request.EditID == "" {
		return Result{}, answerer.New(answerer.BadRequest, "an edit needs an EditID")
	}
	ctx, cancel := context.WithTimeout(storer.WithPriority(ctx, storer.PriorityDocument), p.timeout)
	defer cancel()
	a := &attempt{Publisher: p, change: c}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = defaultRetryFirst
	retry.MaxInterval = defaultRetryMost
	for {
		result, err := a.try(ctx)
		if err == nil {
			return result, nil
		}
		if !isTransient(err) && a.confirm(ctx) {
			return Result{}, err
		}
		if !sleep(ctx, retry.NextBackOff()) {
			return Result{}, a.giveUp(err)
		}
		p.meter.Retries.WithLabelValues(retryReason(err), "Store").Inc()
	}
}

// retryReason names the cause of another attempt, for the counters.
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

// isTransient says whether trying again may settle the request.
func isTransient(err error) bool {
	var refusal *answerer.Error
	return !errors.As(err, &refusal) || refusal.Kind == answerer.StoreUnavailable
}

// confirm says whether a refusal is final. It asks the table, by a commit that
// writes nothing, whether the state that led to the refusal is the newest one,
// so that no write in doubt and no earlier request of the same edit can be in
// force or come into force.
func (a *attempt) confirm(ctx context.Context) bool {
	if a.known || a.request.DryRun {
		return true
	}
	if a.inDoubt && a.row <= a.doubted {
		return false
	}
	_, err := a.table.Commit(ctx, storer.Commit{ID: a.request.EditID, Conditions: a.conditions()})
	return err == nil
}

// conditions hold while the last snapshot is the newest state.
func (a *attempt) conditions() []storer.Condition {
	return []storer.Condition{
		{Key: keyHead, Version: a.row},
		{Key: editKey(a.request.EditID)},
	}
}

// sleep waits and says whether the context allows to go on.
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

func (a *attempt) giveUp(cause error) error {
	if a.inDoubt {
		return answerer.Wrap(answerer.OutcomeUnknown, cause,
			"edit %s may be in force; send it again with the same EditID to learn its outcome", a.request.EditID)
	}
	return answerer.Wrap(answerer.StoreUnavailable, cause,
		"this request for edit %s changed nothing, as the store cannot be reached", a.request.EditID)
}

// try makes one attempt. An error without a kind is transient.
func (a *attempt) try(ctx context.Context) (Result, error) {
	s, err := a.snapshot(ctx, a.request.EditID)
	if err != nil {
		return Result{}, err
	}
	a.row, a.known = s.row, s.edited != nil
	if s.edited != nil {
		return a.replay(s.edited)
	}
	edits, err := a.plan(ctx, &s.head)
	if err != nil {
		return Result{}, err
	}
	if err := a.authorize(edits); err != nil {
		return Result{}, err
	}
	return a.accept(ctx, s, edits)
}

func (a *attempt) replay(earlier *edited) (Result, error) {
	if earlier.Digest != a.digest {
		return Result{}, answerer.New(answerer.KeyReused, "EditID %s was used for another edit", a.request.EditID)
	}
	result := earlier.Result
	result.Replayed = true
	return result, nil
}

func (a *attempt) authorize(edits []SectionEdit) error {
	for _, edit := range edits {
		if a.request.MayChange != nil && !a.request.MayChange(edit.Section) {
			return answerer.New(answerer.Forbidden, "operator %s may not change section %s", a.request.Operator, edit.Section)
		}
	}
	return nil
}

// accept validates the merged document and makes it the newest version.
func (a *attempt) accept(ctx context.Context, s snapshot, edits []SectionEdit) (Result, error) {
	merged, err := a.merge(ctx, &s.head, edits)
	if err != nil {
		return Result{}, err
	}
	if _, err := a.compiler.Compile(merged.document); err != nil {
		return Result{}, answerer.Wrap(answerer.DocumentInvalid, err, "the document was not accepted")
	}
	result := Result{
		EditID:    a.request.EditID,
		Version:   merged.manifest.Version,
		Changed:   sectionsOf(edits),
		Revisions: merged.manifest.Revisions(),
		Diff:      merged.diff,
		DryRun:    a.request.DryRun,
	}
	if a.request.DryRun {
		return result, nil
	}
	for _, object := range merged.objects {
		if err := a.texts.put(ctx, object); err != nil {
			return Result{}, err
		}
	}
	if err := a.commit(ctx, s, merged.manifest, result); err != nil {
		return Result{}, err
	}
	a.accepted(result.Version)
	return result, nil
}

// commit is the one conditional write that accepts a version. An edit that
// changes nothing leaves the head alone and is still recorded.
func (a *attempt) commit(ctx context.Context, s snapshot, manifest Manifest, result Result) error {
	// Rows stay small; the change can be shown from the texts.
	result.Diff = ""
	edit, err := encode(edited{Digest: a.digest, Result: result})
	if err != nil {
		return err
	}
	commit := storer.Commit{
		ID:         a.request.EditID,
		Conditions: a.conditions(),
		Writes:     []storer.Write{{Key: editKey(a.request.EditID), Value: edit}},
	}
	if manifest.Version != s.head.Version {
		head, err := encode(manifest)
		if err != nil {
			return err
		}
		commit.Writes = append(commit.Writes,
			storer.Write{Key: keyHead, Value: head},
			storer.Write{Key: versionKey(manifest.Version), Value: head})
	}
	_, err = a.table.Commit(ctx, commit)
	if err != nil && !errors.Is(err, storer.ErrConflict) && !errors.Is(err, storer.ErrUnavailable) {
		a.inDoubt = true
		a.doubted = max(a.doubted, s.row)
	}
	return err
}

// merged is the document that would result from an edit.
type merged struct {
	manifest Manifest
	document compiler.Document
	objects  []object
	diff     string
}

func (a *attempt) merge(ctx context.Context, head *Manifest, edits []SectionEdit) (merged, error) {
	document, err := a.texts.document(ctx, head)
	if err != nil {
		return merged{}, err
	}
	m := merged{manifest: *head, document: document}
	if len(edits) == 0 {
		return m, nil
	}
	m.manifest = Manifest{
		Version:  head.Version + 1,
		EditID:   a.request.EditID,
		Operator: a.request.Operator,
		Kind:     a.kind,
		Changed:  sectionsOf(edits),
		At:       time.Now().UTC(),
	}
	m.document = compiler.Document{Number: m.manifest.Version}
	for _, name := range compiler.SectionNames() {
		if err := a.mergeSection(ctx, &m, head.Section(name), document, edits); err != nil {
			return merged{}, err
		}
	}
	return m, nil
}

func (a *attempt) mergeSection(ctx context.Context, m *merged, state SectionState, document compiler.Document, edits []SectionEdit) error {
	for _, edit := range edits {
		if edit.Section != state.Section {
			continue
		}
		older, err := a.texts.text(ctx, state)
		if err != nil {
			return err
		}
		m.replace(state, older, edit)
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

// replace puts an edited section into the merged document.
func (m *merged) replace(state SectionState, older string, edit SectionEdit) {
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
		m.objects = append(m.objects, object{next.Object, text})
		m.document.Sections = append(m.document.Sections, compiler.Section{
			Name: edit.Section, File: fileOf(edit), Line: edit.Line, Text: edit.Text,
		})
	}
	m.manifest.Sections = append(m.manifest.Sections, next)
	m.diff += showDiff(edit.Section, state.Revision, older, next.Revision, text)
}

func fileOf(edit SectionEdit) string {
	if edit.File != "" {
		return edit.File
	}
	return fmt.Sprintf("%s.yaml", edit.Section)
}
