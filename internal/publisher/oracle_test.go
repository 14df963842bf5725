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

// acceptedVersion is one accepted version as read from the store.
type acceptedVersion struct {
	manifest publisher.Manifest
	texts    map[string]string
}

// check compares the store's final state, the results of the calls and the
// followers' versions.
func (sim *simulation) check(ctx context.Context) {
	versions := sim.readVersions(ctx)
	if versions == nil {
		return
	}
	sim.checkVersionChanges(versions)
	for _, c := range sim.calls {
		sim.checkCall(versions, c)
	}
	sim.checkRaces()
	newest := versions[len(versions)-1]
	sim.mu.Lock()
	followers := sim.followers
	sim.mu.Unlock()
	for i, f := range followers {
		if f == nil {
			sim.fail("instance %d is not running at the end", i)
			continue
		}
		sim.checkVersions(i, f)
		if diff := cmp.Diff(newest.manifest, f.Manifest()); diff != "" {
			sim.fail("instance %d does not end with the newest document: %s", i, diff)
		}
	}
}

// readVersions reads all versions, starting with the empty version zero.
func (sim *simulation) readVersions(ctx context.Context) []acceptedVersion {
	versions := []acceptedVersion{{}}
	p := sim.publishers[0]
	head, err := p.Head(ctx)
	if err != nil {
		sim.fail("reading the head: %v", err)
		return nil
	}
	for number := int64(1); number <= head.Version; number++ {
		manifest, document, err := p.Show(ctx, number)
		if err != nil {
			sim.fail("reading version %d: %v", number, err)
			return nil
		}
		v := acceptedVersion{manifest: *manifest, texts: map[string]string{}}
		for _, section := range document.Sections {
			v.texts[section.Name] = section.Text
		}
		versions = append(versions, v)
	}
	return versions
}

// checkVersionChanges checks that each version changes only the sections that its
// manifest lists, so that no version reverts or loses another one's change.
func (sim *simulation) checkVersionChanges(versions []acceptedVersion) {
	seen := map[string]bool{}
	for n := 1; n < len(versions); n++ {
		older, newer := versions[n-1], versions[n]
		if newer.manifest.Version != int64(n) {
			sim.fail("the manifest of version %d has number %d", n, newer.manifest.Version)
		}
		if seen[newer.manifest.EditID] {
			sim.fail("edit %s was accepted twice", newer.manifest.EditID)
		}
		seen[newer.manifest.EditID] = true
		for _, name := range compiler.SectionNames() {
			changed := slices.Contains(newer.manifest.Changed, name)
			if !changed && older.texts[name] != newer.texts[name] {
				sim.fail("version %d changed section %s, which its manifest does not list", n, name)
			}
			if changed != (newer.manifest.Section(name).Revision == int64(n)) {
				sim.fail("the manifest of version %d has a wrong revision of section %s", n, name)
			}
		}
	}
}

func findEdit(versions []acceptedVersion, id string) (acceptedVersion, bool) {
	i := slices.IndexFunc(versions, func(v acceptedVersion) bool { return v.manifest.EditID == id })
	if i < 0 {
		return acceptedVersion{}, false
	}
	return versions[i], true
}

// checkCall checks that the result of a call agrees with the accepted versions.
func (sim *simulation) checkCall(versions []acceptedVersion, c call) {
	accepted, isAccepted := findEdit(versions, c.id)
	if c.err == nil {
		sim.checkAccepted(accepted, isAccepted, c)
		return
	}
	switch kind := answerer.KindOf(c.err); kind {
	case answerer.OutcomeUnknown:
	case answerer.RevisionConflict, answerer.DocumentInvalid:
		if isAccepted {
			sim.fail("%s was refused as %s but accepted as version %d", c.id, kind, accepted.manifest.Version)
		}
		if kind == answerer.RevisionConflict {
			sim.checkConflict(versions, c)
		}
	case answerer.StoreUnavailable:
		// The error refers to one request; another request of the same edit may have
		// been accepted.
		if isAccepted && !sim.mayBeAccepted(c.id) {
			sim.fail("%s was reported as not run but accepted as version %d", c.id, accepted.manifest.Version)
		}
	default:
		sim.fail("%s failed with an unexpected error: %v", c.id, c.err)
	}
}

// mayBeAccepted reports whether a request of the edit succeeded or has an unknown
// outcome.
func (sim *simulation) mayBeAccepted(id string) bool {
	return slices.ContainsFunc(sim.calls, func(c call) bool {
		return c.id == id && (c.err == nil || answerer.KindOf(c.err) == answerer.OutcomeUnknown)
	})
}

func (sim *simulation) checkAccepted(accepted acceptedVersion, isAccepted bool, c call) {
	if len(c.result.Changed) == 0 {
		if isAccepted {
			sim.fail("%s was reported to change nothing but accepted as version %d", c.id, accepted.manifest.Version)
		}
		return
	}
	if !isAccepted || accepted.manifest.Version != c.result.Version {
		sim.fail("%s was reported as version %d, which does not contain it", c.id, c.result.Version)
		return
	}
	for _, edit := range c.edits {
		if diff := cmp.Diff(edit.Text, accepted.texts[edit.Section]); diff != "" {
			sim.fail("%s was accepted with another text: %s", c.id, diff)
		}
	}
}

// checkConflict checks that a conflict names an accepted version that changed the
// section after the base revision.
func (sim *simulation) checkConflict(versions []acceptedVersion, c call) {
	conflicts := publisher.Conflicts(c.err)
	if len(conflicts) == 0 {
		sim.fail("%s was refused with kind RevisionConflict but lists no conflict", c.id)
	}
	for _, conflict := range conflicts {
		if conflict.Revision <= conflict.Base || conflict.Revision >= int64(len(versions)) {
			sim.fail("%s: the conflicting revision %d is not an accepted one after %d", c.id, conflict.Revision, conflict.Base)
			continue
		}
		conflicting := versions[conflict.Revision].manifest
		if conflicting.EditID != conflict.EditID || conflict.Section != "" && !slices.Contains(conflicting.Changed, conflict.Section) {
			sim.fail("%s: the conflicting edit did not change section %s", c.id, conflict.Section)
		}
	}
}

// checkRaces checks that at most one of several edits based on the same revision of
// a section was accepted.
func (sim *simulation) checkRaces() {
	acceptedEdits := map[string]string{}
	for _, c := range sim.calls {
		if c.err != nil || len(c.result.Changed) == 0 {
			continue
		}
		for _, edit := range c.edits {
			race := fmt.Sprintf("%s from revision %d", edit.Section, edit.BaseRevision)
			if other := acceptedEdits[race]; other != "" && other != c.id {
				sim.fail("%s and %s were both accepted for %s", other, c.id, race)
			}
			acceptedEdits[race] = c.id
		}
	}
}
