package publisher

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

// The rows and objects of the document. Objects are never changed once written.
const (
	keyHead     = "document/head"
	keyVersions = "document/versions/"
	keyEdits    = "document/edits/"
	keySections = "document/sections/"
)

func versionKey(number int64) string { return fmt.Sprintf("%s%020d", keyVersions, number) }

func editKey(editID string) string { return keyEdits + editID }

// objectKey is made from the text, so that equal texts share an object.
func objectKey(section, hash string) string { return keySections + section + "/" + hash }

// The ways in which a version was made.
const (
	KindEdit     = "Edit"
	KindApply    = "Apply"
	KindRollback = "Rollback"
)

// Manifest is one accepted version. It is the value of the head row while the
// version is the newest one, and of the version's own row for good.
type Manifest struct {
	// Version is zero before the first edit.
	Version  int64
	EditID   string
	Operator string
	Kind     string
	// Changed names the sections that differ from the version before.
	Changed  []string
	At       time.Time
	Sections []SectionState
}

// SectionState is one section of a version.
type SectionState struct {
	Section string
	// Revision is the number of the version that last changed the section.
	Revision int64
	// Object is the key of the text; empty if the section was removed.
	Object string
	// Hash is the lower-case hexadecimal SHA-256 sum of the text.
	Hash   string
	Author string
	At     time.Time
}

// Section returns the state of the section; its Revision is zero if the
// document never had it.
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

// edited is the value of an edit's row.
type edited struct {
	// Digest tells a repeated edit from another one with the same id.
	Digest string
	Result Result
}

// Result is what became of an edit.
type Result struct {
	EditID string
	// Version is the version made by the edit, or the newest one if it changed nothing.
	Version   int64
	Changed   []string
	Revisions compiler.Revisions
	// Diff shows the change as unified text; it is empty if Replayed is set.
	Diff string `json:",omitempty"`
	// DryRun is set if nothing was accepted.
	DryRun bool `json:",omitempty"`
	// Replayed is set if the edit had been accepted before.
	Replayed bool `json:",omitempty"`
}

func encode(value any) ([]byte, error) {
	body, err := json.Marshal(value)
	return body, eris.Wrap(err, "encoding a row of the document")
}

func decode(body []byte, into any) error {
	return eris.Wrap(json.Unmarshal(body, into), "decoding a row of the document")
}
