package compiler

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"regexp"
	"slices"
	"strings"

	"github.com/wigeonstand/wigeonstand/internal/loader"
)

// The sections of a document. The right to edit is granted per section.
const (
	SectionBusinesses = "Businesses"
	SectionAgents     = "Agents"
	SectionBudgets    = "Budgets"
	SectionPrecedence = "Precedence"
	SectionEndpoints  = "Endpoints"
	SectionServices   = "Services"
	SectionOperators  = "Operators"
	SectionPolicy     = "Policy"
)

// revisionsKey is the top-level key of the optional part of a document file that
// gives the revision of each section on which the file is based.
const revisionsKey = "Revisions"

// SectionNames returns the names of all sections in the order of a document.
func SectionNames() []string {
	return []string{
		SectionBusinesses, SectionAgents, SectionBudgets, SectionPrecedence,
		SectionEndpoints, SectionServices, SectionOperators, SectionPolicy,
	}
}

// Section is the text of one section. The text begins with the section's name
// as a top-level key, and may have comments before it.
type Section struct {
	Name string
	// File and Line are the position of the text, for use in errors.
	File string
	Line int `json:",omitempty"`
	Text string
}

// Document is the whole document as text. An absent section has no entries.
type Document struct {
	// Number becomes the number of the Version compiled from the document.
	Number   int64
	Sections []Section
}

// Section returns the section with the name and whether the document has it.
func (d Document) Section(name string) (Section, bool) {
	i := slices.IndexFunc(d.Sections, func(s Section) bool { return s.Name == name })
	if i < 0 {
		return Section{Name: name}, false
	}
	return d.Sections[i], true
}

// Text returns all sections as one file, in the order of SectionNames.
func (d Document) Text() string {
	var text strings.Builder
	for _, name := range SectionNames() {
		section, ok := d.Section(name)
		if !ok {
			continue
		}
		if text.Len() > 0 {
			text.WriteByte('\n')
		}
		text.WriteString(NormalizeText(section.Text))
	}
	return text.String()
}

// Revisions holds the revision of each section on which an edit is based; zero
// means that the section did not exist.
type Revisions struct {
	Businesses int64 `validate:"min=0"`
	Agents     int64 `validate:"min=0"`
	Budgets    int64 `validate:"min=0"`
	Precedence int64 `validate:"min=0"`
	Endpoints  int64 `validate:"min=0"`
	Services   int64 `validate:"min=0"`
	Operators  int64 `validate:"min=0"`
	Policy     int64 `validate:"min=0"`
}

// ForSection returns a pointer to the field of the section, or nil for an unknown
// section.
func (r *Revisions) ForSection(section string) *int64 {
	switch section {
	case SectionBusinesses:
		return &r.Businesses
	case SectionAgents:
		return &r.Agents
	case SectionBudgets:
		return &r.Budgets
	case SectionPrecedence:
		return &r.Precedence
	case SectionEndpoints:
		return &r.Endpoints
	case SectionServices:
		return &r.Services
	case SectionOperators:
		return &r.Operators
	case SectionPolicy:
		return &r.Policy
	}
	return nil
}

// NormalizeText returns the text with all line ends replaced by line feeds,
// without leading blank lines and with exactly one line feed at its end.
func NormalizeText(text string) string {
	text = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(text)
	return strings.Trim(text, "\n") + "\n"
}

// HashKey returns the lower-case hexadecimal SHA-256 sum of a key. Documents hold
// keys only in this form.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

var topLevelKey = regexp.MustCompile(`^([A-Za-z][A-Za-z0-9_-]*)[ \t]*:([ \t]|$)`)

// Split splits the text of a whole document file into its sections, which keep
// their positions in the file, and returns the revisions if the file has any.
// A non-nil error is of type loader.Errors. Split does not check the contents of
// the sections.
func Split(file string, text []byte) (Document, *Revisions, error) {
	text = bytes.ReplaceAll(text, []byte("\r\n"), []byte("\n"))
	text = bytes.ReplaceAll(text, []byte("\r"), []byte("\n"))
	s := &splitter{file: file, lines: strings.SplitAfter(string(text), "\n")}
	document := Document{}
	var revisions *Revisions
	for _, part := range s.sections() {
		switch {
		case part.Name == revisionsKey:
			revisions = s.revisions(part)
		case slices.Contains(SectionNames(), part.Name):
			document.Sections = append(document.Sections, part)
		}
	}
	return document, revisions, s.errors.Err()
}

// splitter is the state of one call of Split.
type splitter struct {
	file   string
	lines  []string
	errors loader.Errors
}

func (s *splitter) fail(line int, field, format string, args ...any) {
	s.errors.Add(loader.Position{File: s.file, Line: line + 1, Column: 1}, field, format, args...)
}

// sections returns the text of each top-level key with the comments directly above
// it.
func (s *splitter) sections() []Section {
	keys := s.sectionKeys()
	parts := make([]Section, 0, len(keys))
	for i, key := range keys {
		end := len(s.lines)
		if i+1 < len(keys) {
			end = s.startLine(keys[i+1].line)
		}
		begin := s.startLine(key.line)
		if i == 0 {
			begin = 0
		}
		text := strings.Join(s.lines[begin:end], "")
		parts = append(parts, Section{Name: key.name, File: s.file, Line: begin + 1, Text: text})
	}
	return parts
}

// startLine returns the first of the comment lines directly above the line, or
// the line itself if there are none.
func (s *splitter) startLine(line int) int {
	for line > 0 && strings.HasPrefix(s.lines[line-1], "#") {
		line--
	}
	return line
}

// sectionKey is a top-level key and its line, counted from 0.
type sectionKey struct {
	name string
	line int
}

func (s *splitter) sectionKeys() []sectionKey {
	var keys []sectionKey
	for i, line := range s.lines {
		match := topLevelKey.FindStringSubmatch(strings.TrimSuffix(line, "\n"))
		if match == nil {
			s.checkNonKeyLine(i, line, len(keys) == 0)
			continue
		}
		s.checkKey(keys, sectionKey{match[1], i})
		keys = append(keys, sectionKey{match[1], i})
	}
	return keys
}

// checkNonKeyLine rejects document markers and text before the first section.
func (s *splitter) checkNonKeyLine(i int, line string, beforeFirst bool) {
	if isDocumentMarker(line) {
		s.fail(i, "", "document markers are not supported")
		return
	}
	content := strings.TrimSpace(line)
	if beforeFirst && content != "" && content[0] != '#' {
		s.fail(i, "", "text before the first section; a section begins with its name at the first column")
	}
}

func isDocumentMarker(line string) bool {
	return strings.HasPrefix(line, "---") || strings.HasPrefix(line, "...")
}

func (s *splitter) checkKey(keys []sectionKey, key sectionKey) {
	known := key.name == revisionsKey || slices.Contains(SectionNames(), key.name)
	if !known {
		s.fail(key.line, key.name, "unknown section %s; the sections are %s", key.name, strings.Join(SectionNames(), ", "))
		return
	}
	first := slices.IndexFunc(keys, func(k sectionKey) bool { return k.name == key.name })
	if first >= 0 {
		s.fail(key.line, key.name, "section %s is given twice, first at %s:%d:1", key.name, s.file, keys[first].line+1)
	}
}

// revisionsFile is the decoded form of the part with the revisions.
type revisionsFile struct {
	Revisions Revisions
}

func (s *splitter) revisions(part Section) *Revisions {
	var file revisionsFile
	_, err := loader.Load(sourceOf(part), &file)
	if err != nil {
		s.errors = append(s.errors, loader.AsErrors(err)...)
	}
	return &file.Revisions
}

func sourceOf(section Section) loader.Source {
	return loader.Source{File: section.File, Line: section.Line, Text: []byte(section.Text)}
}
