package publisher

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

// The keys of the document's rows and objects. Objects are immutable.
const (
	headKey          = "document/head"
	versionKeyPrefix = "document/versions/"
	editKeyPrefix    = "document/edits/"
	sectionKeyPrefix = "document/sections/"
)

func versionKey(number int64) string { return fmt.Sprintf("%s%020d", versionKeyPrefix, number) }

func editKey(editID string) string { return editKeyPrefix + editID }

// objectKey derives the key from the text's hash, so that equal texts share an
// object.
func objectKey(section, hash string) string { return sectionKeyPrefix + section + "/" + hash }

// The kinds of edits, as recorded in Manifest.Kind.
const (
	KindEdit     = "Edit"
	KindApply    = "Apply"
	KindRollback = "Rollback"
)

// Manifest describes one accepted version. It is the value of the version's own
// row and, while the version is the newest, of the head row.
type Manifest struct {
	// Version is zero before the first edit.
	Version  int64
	EditID   string
	Operator string
	Kind     string
	// Changed lists the sections that differ from the previous version.
	Changed  []string
	At       time.Time
	Sections []SectionState
}

// SectionState describes one section of a version.
type SectionState struct {
	Section string
	// Revision is the number of the version that last changed the section.
	Revision int64
	// Object is the object key of the text; empty if the section was removed.
	Object string
	// Hash is the SHA-256 sum of the text in lower-case hexadecimal; empty if the
	// section was removed.
	Hash   string
	Author string
	At     time.Time
}

// Section returns the state of the section. Its Revision is zero if the document
// has never contained the section.
func (m *Manifest) Section(name string) SectionState {
	i := slices.IndexFunc(m.Sections, func(s SectionState) bool { return s.Section == name })
	if i < 0 {
		return SectionState{Section: name}
	}
	return m.Sections[i]
}

// Revisions returns the revisions of all sections.
func (m *Manifest) Revisions() compiler.Revisions {
	var revisions compiler.Revisions
	for _, state := range m.Sections {
		if revision := revisions.ForSection(state.Section); revision != nil {
			*revision = state.Revision
		}
	}
	return revisions
}

// editRecord is the value of an edit's row.
type editRecord struct {
	// Digest identifies the contents of the edit; a request with the same EditID
	// and another digest is refused.
	Digest string
	Result Result
}

// Result is the outcome of an edit.
type Result struct {
	EditID string
	// Version is the version that the edit created, or the newest one if the edit
	// changed nothing.
	Version   int64
	Changed   []string
	Revisions compiler.Revisions
	// Diff is the unified diff of the change; it is empty if Replayed is set.
	Diff string `json:",omitempty"`
	// DryRun is set if the request was only validated.
	DryRun bool `json:",omitempty"`
	// Replayed is set if an earlier request with the same EditID was accepted.
	Replayed bool `json:",omitempty"`
}

func encode(value any) ([]byte, error) {
	body, err := json.Marshal(value)
	return body, eris.Wrap(err, "encoding a row of the document")
}

func decode(body []byte, into any) error {
	return eris.Wrap(json.Unmarshal(body, into), "decoding a row of the document")
}
