package administrator

import (
	"slices"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/publisher"
)

func (a *Administrator) registerDocumentRoutes() {
	a.route("GET "+PathDocument, "ShowDocument", "", a.showDocument)
	a.route("GET "+PathSections+"{section}", "ShowSection", "", a.showSection)
	a.route("PUT "+PathSections+"{section}", "EditSection", "", a.editSection)
	a.route("POST "+PathApply, "ApplyDocument", "", a.applyDocument)
	a.route("POST "+PathCheck, "CheckDocument", "", a.checkDocument)
	a.route("GET "+PathHistory, "ShowHistory", "", a.showHistory)
	a.route("GET "+PathDiff, "ShowDiff", "", a.showDiff)
	a.route("POST "+PathRollback, "RollbackDocument", "", a.rollbackDocument)
}

func (a *Administrator) showDocument(c call) (any, error) {
	version, err := queryInt(c.Request, "Version")
	if err != nil {
		return nil, err
	}
	manifest, document, err := a.publisher.Show(c.Context(), version)
	if err != nil {
		return nil, err
	}
	return DocumentView{
		Version:   manifest.Version,
		EditID:    manifest.EditID,
		Operator:  manifest.Operator,
		At:        manifest.At,
		Revisions: manifest.Revisions(),
		Text:      document.Text(),
	}, nil
}

func pathSection(c call) (string, error) {
	section := c.PathValue("section")
	if !slices.Contains(compiler.SectionNames(), section) {
		return "", answerer.New(answerer.NotFound, "unknown section %q", section)
	}
	return section, nil
}

func (a *Administrator) showSection(c call) (any, error) {
	section, err := pathSection(c)
	if err != nil {
		return nil, err
	}
	version, err := queryInt(c.Request, "Version")
	if err != nil {
		return nil, err
	}
	manifest, document, err := a.publisher.Show(c.Context(), version)
	if err != nil {
		return nil, err
	}
	state := manifest.Section(section)
	text, _ := document.Section(section)
	return SectionView{
		Version:  manifest.Version,
		Section:  section,
		Revision: state.Revision,
		Author:   state.Author,
		At:       state.At,
		Text:     text.Text,
	}, nil
}

// newRequest returns the part that all changes of the document share.
func newRequest(c call, editID string, dryRun bool) publisher.Request {
	return publisher.Request{Operator: c.operator.Name, EditID: editID, DryRun: dryRun, MayChange: c.operator.HasRight}
}

func (a *Administrator) editSection(c call) (any, error) {
	section, err := pathSection(c)
	if err != nil {
		return nil, err
	}
	var body EditRequest
	if err := decode(c.Request, &body); err != nil {
		return nil, err
	}
	return a.logEdit(a.publisher.Edit(c.Context(), publisher.Edit{
		Request: newRequest(c, body.EditID, body.DryRun),
		SectionEdit: publisher.SectionEdit{
			Section: section, BaseRevision: body.BaseRevision, File: body.File, Line: body.Line, Text: body.Text,
		},
	}))
}

func (a *Administrator) applyDocument(c call) (any, error) {
	var body ApplyRequest
	if err := decode(c.Request, &body); err != nil {
		return nil, err
	}
	return a.apply(c, body)
}

func (a *Administrator) checkDocument(c call) (any, error) {
	var body ApplyRequest
	if err := decode(c.Request, &body); err != nil {
		return nil, err
	}
	body.DryRun = true
	return a.apply(c, body)
}

func (a *Administrator) apply(c call, body ApplyRequest) (any, error) {
	apply := publisher.Apply{Request: newRequest(c, body.EditID, body.DryRun)}
	for _, section := range body.Sections {
		base := body.Revisions.ForSection(section.Name)
		if base == nil {
			return nil, answerer.New(answerer.BadRequest, "unknown section %q", section.Name)
		}
		apply.Sections = append(apply.Sections, publisher.SectionEdit{
			Section: section.Name, BaseRevision: *base, File: section.File, Line: section.Line, Text: section.Text,
		})
	}
	return a.logEdit(a.publisher.Apply(c.Context(), apply))
}

func (a *Administrator) rollbackDocument(c call) (any, error) {
	var body RollbackRequest
	if err := decode(c.Request, &body); err != nil {
		return nil, err
	}
	return a.logEdit(a.publisher.Rollback(c.Context(), publisher.Rollback{
		Request: newRequest(c, body.EditID, body.DryRun), To: body.To, Base: body.Base,
	}))
}

// logEdit logs an accepted edit and returns its result.
func (a *Administrator) logEdit(result publisher.Result, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	if !result.DryRun {
		a.log.Log(EventEditAccepted, "EditID", result.EditID, "Version", result.Version,
			"Changed", result.Changed, "Replayed", result.Replayed)
	}
	return result, nil
}

func (a *Administrator) showHistory(c call) (any, error) {
	before, err := queryInt(c.Request, "Before")
	if err != nil {
		return nil, err
	}
	limit, err := queryInt(c.Request, "Limit")
	if err != nil {
		return nil, err
	}
	if limit == 0 || limit > publisher.MaxHistory {
		limit = publisher.MaxHistory
	}
	manifests, err := a.publisher.History(c.Context(), before, int(limit))
	if err != nil {
		return nil, err
	}
	view := HistoryView{}
	for _, m := range manifests {
		view.Versions = append(view.Versions, VersionView{
			Version: m.Version, EditID: m.EditID, Operator: m.Operator, Kind: m.Kind, Changed: m.Changed, At: m.At,
		})
	}
	return view, nil
}

func (a *Administrator) showDiff(c call) (any, error) {
	from, err := queryInt(c.Request, "From")
	if err != nil {
		return nil, err
	}
	to, err := queryInt(c.Request, "To")
	if err != nil {
		return nil, err
	}
	if to == 0 {
		head, err := a.publisher.Head(c.Context())
		if err != nil {
			return nil, err
		}
		to = head.Version
	}
	diff, err := a.publisher.Diff(c.Context(), from, to)
	if err != nil {
		return nil, err
	}
	return DiffView{From: from, To: to, Diff: diff}, nil
}
