package publisher_test

import (
	"context"
	"fmt"
	"slices"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/publisher"
)

// acceptedVersion is what the oracle knows of one accepted acceptedVersion.
type acceptedVersion struct {
	manifest publisher.Manifest
	texts    map[string]string
}

// check compares the store's final state, the operators' answers and the
// followers with each other.
func (w *simulation) check(ctx context.Context) {
	chain := w.readVersions(ctx)
	if chain == nil {
		return
	}
	w.checkVersionChanges(chain)
	for _, c := range w.calls {
		w.checkCall(chain, c)
	}
	w.checkRaces()
	newest := chain[len(chain)-1]
	w.mu.Lock()
	followers := w.followers
	w.mu.Unlock()
	for i, f := range followers {
		if f == nil {
			w.fail("instance %d is not up at the end", i)
			continue
		}
		w.checkVersions(i, f)
		if diff := cmp.Diff(newest.manifest, f.Manifest()); diff != "" {
			w.fail("instance %d ends with another document: %s", i, diff)
		}
	}
}

// readVersions reads all versions, beginning with the empty one.
func (w *simulation) readVersions(ctx context.Context) []acceptedVersion {
	chain := []acceptedVersion{{}}
	p := w.publishers[0]
	head, err := p.Head(ctx)
	if err != nil {
		w.fail("reading the head: %v", err)
		return nil
	}
	for number := int64(1); number <= head.Version; number++ {
		manifest, document, err := p.Show(ctx, number)
		if err != nil {
			w.fail("version %d is lost: %v", number, err)
			return nil
		}
		v := acceptedVersion{manifest: *manifest, texts: map[string]string{}}
		for _, section := range document.Sections {
			v.texts[section.Name] = section.Text
		}
		chain = append(chain, v)
	}
	return chain
}

// checkVersionChanges makes sure that each version has exactly its own change, so that
// none reverts or loses another one's.
func (w *simulation) checkVersionChanges(chain []acceptedVersion) {
	seen := map[string]bool{}
	for n := 1; n < len(chain); n++ {
		older, newer := chain[n-1], chain[n]
		if newer.manifest.Version != int64(n) {
			w.fail("version %d calls itself %d", n, newer.manifest.Version)
		}
		if seen[newer.manifest.EditID] {
			w.fail("edit %s was accepted twice", newer.manifest.EditID)
		}
		seen[newer.manifest.EditID] = true
		for _, name := range compiler.SectionNames() {
			changed := slices.Contains(newer.manifest.Changed, name)
			if !changed && older.texts[name] != newer.texts[name] {
				w.fail("version %d changed section %s without saying so", n, name)
			}
			if changed != (newer.manifest.Section(name).Revision == int64(n)) {
				w.fail("version %d has a wrong revision of section %s", n, name)
			}
		}
	}
}

func find(chain []acceptedVersion, id string) (acceptedVersion, bool) {
	i := slices.IndexFunc(chain, func(v acceptedVersion) bool { return v.manifest.EditID == id })
	if i < 0 {
		return acceptedVersion{}, false
	}
	return chain[i], true
}

// checkCall makes sure that an answer says what came to be.
func (w *simulation) checkCall(chain []acceptedVersion, c call) {
	accepted, inChain := find(chain, c.id)
	if c.err == nil {
		w.checkAccepted(accepted, inChain, c)
		return
	}
	switch kind := answerer.KindOf(c.err); kind {
	case answerer.OutcomeUnknown:
	case answerer.RevisionConflict, answerer.DocumentInvalid:
		if inChain {
			w.fail("%s was refused as %s and is in force as version %d", c.id, kind, accepted.manifest.Version)
		}
		if kind == answerer.RevisionConflict {
			w.checkConflict(chain, c)
		}
	case answerer.StoreUnavailable:
		// It speaks of one request alone; others of the same edit may have landed.
		if inChain && !w.mayBeAccepted(c.id) {
			w.fail("%s was reported as not run and is in force as version %d", c.id, accepted.manifest.Version)
		}
	default:
		w.fail("%s failed in an unexpected way: %v", c.id, c.err)
	}
}

// mayBeAccepted says whether a request of the edit had success or may have had.
func (w *simulation) mayBeAccepted(id string) bool {
	return slices.ContainsFunc(w.calls, func(c call) bool {
		return c.id == id && (c.err == nil || answerer.KindOf(c.err) == answerer.OutcomeUnknown)
	})
}

func (w *simulation) checkAccepted(landed acceptedVersion, inChain bool, c call) {
	if len(c.result.Changed) == 0 {
		if inChain {
			w.fail("%s was reported to change nothing and is version %d", c.id, landed.manifest.Version)
		}
		return
	}
	if !inChain || landed.manifest.Version != c.result.Version {
		w.fail("%s was reported as version %d and is not in force", c.id, c.result.Version)
		return
	}
	for _, edit := range c.edits {
		if diff := cmp.Diff(edit.Text, landed.texts[edit.Section]); diff != "" {
			w.fail("%s landed with another text: %s", c.id, diff)
		}
	}
}

// checkConflict makes sure that the rival named is a real one.
func (w *simulation) checkConflict(chain []acceptedVersion, c call) {
	conflicts := publisher.Conflicts(c.err)
	if len(conflicts) == 0 {
		w.fail("%s was refused without a rival", c.id)
	}
	for _, conflict := range conflicts {
		if conflict.Revision <= conflict.Base || conflict.Revision >= int64(len(chain)) {
			w.fail("%s: the rival's revision %d is not after %d", c.id, conflict.Revision, conflict.Base)
			continue
		}
		rival := chain[conflict.Revision].manifest
		if rival.EditID != conflict.EditID || conflict.Section != "" && !slices.Contains(rival.Changed, conflict.Section) {
			w.fail("%s: the rival named did not change section %s", c.id, conflict.Section)
		}
	}
}

// checkRaces makes sure that of several edits made from the same revision of
// a section at most one is in force.
func (w *simulation) checkRaces() {
	winners := map[string]string{}
	for _, c := range w.calls {
		if c.err != nil || len(c.result.Changed) == 0 {
			continue
		}
		for _, edit := range c.edits {
			race := fmt.Sprintf("%s from revision %d", edit.Section, edit.BaseRevision)
			if rival := winners[race]; rival != "" && rival != c.id {
				w.fail("%s and %s both changed %s", rival, c.id, race)
			}
			winners[race] = c.id
		}
	}
}
