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

// The sections of a document, each owned by a team of operators.
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

// revisionsKey heads the optional part of a document file that says which
// revision of each section the file was made from.
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
	// File and Line say where the text stands, for errors.
	File string
	Line int `json:",omitempty"`
	Text string
}

// Document is the whole document as operators write it. A section that is
// absent has no entries.
type Document struct {
	// Number is given to the Version compiled from the document.
	Number   int64
	Sections []Section
}

// Section returns the section with the name.
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

// Revisions gives the revision of each section that an edit was made against;
// zero stands for a section that did not exist.
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

// ForSection returns the field of the section, or nil for an unknown name.
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

// NormalizeText returns the text with line feeds alone as line ends, without
// blank lines around it and with one line feed at its end.
func NormalizeText(text string) string {
	text = strings.NewReplacer("\r\n", "\n", "\r", "\n").Replace(text)
	return strings.Trim(text, "\n") + "\n"
}

// HashKey returns the lower-case hexadecimal SHA-256 sum of a key, the form in
// which documents hold keys.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

var topLevelKey = regexp.MustCompile(`^([A-Za-z][A-Za-z0-9_-]*)[ \t]*:([ \t]|$)`)

// Split cuts the text of a whole document file into its sections, which keep
// their places in the file, and returns the revisions if the file gives any.
// An error is of type loader.Errors. Contents of sections are not checked.
func Split(file string, text []byte) (Document, *Revisions, error) {
	text = bytes.ReplaceAll(text, []byte("\r\n"), []byte("\n"))
	text = bytes.ReplaceAll(text, []byte("\r"), []byte("\n"))
	s := &splitting{file: file, lines: strings.SplitAfter(string(text), "\n")}
	document := Document{}
	var revisions *Revisions
	for _, part := range s.parts() {
		switch {
		case part.Name == revisionsKey:
			revisions = s.revisions(part)
		case slices.Contains(SectionNames(), part.Name):
			document.Sections = append(document.Sections, part)
		}
	}
	return document, revisions, s.errors.Err()
}

// splitting is the state of one call of Split.
type splitting struct {
	file   string
	lines  []string
	errors loader.Errors
}

func (s *splitting) fail(line int, field, format string, args ...any) {
	s.errors.Add(loader.Position{File: s.file, Line: line + 1, Column: 1}, field, format, args...)
}

// parts returns the text of each top-level key with the comments that stand
// directly above it.
func (s *splitting) parts() []Section {
	keys := s.keys()
	parts := make([]Section, 0, len(keys))
	for i, key := range keys {
		end := len(s.lines)
		if i+1 < len(keys) {
			end = s.begin(keys[i+1].line)
		}
		begin := s.begin(key.line)
		if i == 0 {
			begin = 0
		}
		text := strings.Join(s.lines[begin:end], "")
		parts = append(parts, Section{Name: key.name, File: s.file, Line: begin + 1, Text: text})
	}
	return parts
}

// begin returns the line of the first comment directly above the line.
func (s *splitting) begin(line int) int {
	for line > 0 && strings.HasPrefix(s.lines[line-1], "#") {
		line--
	}
	return line
}

// keyLine is a top-level key and its line from 0.
type keyLine struct {
	name string
	line int
}

func (s *splitting) keys() []keyLine {
	var keys []keyLine
	for i, line := range s.lines {
		match := topLevelKey.FindStringSubmatch(strings.TrimSuffix(line, "\n"))
		if match == nil {
			s.checkLoose(i, line, len(keys) == 0)
			continue
		}
		s.checkKey(keys, keyLine{match[1], i})
		keys = append(keys, keyLine{match[1], i})
	}
	return keys
}

// checkLoose refuses lines that belong to no section.
func (s *splitting) checkLoose(i int, line string, first bool) {
	if isMarker(line) {
		s.fail(i, "", "document markers are not supported")
		return
	}
	content := strings.TrimSpace(line)
	if first && content != "" && content[0] != '#' {
		s.fail(i, "", "text before the first section; a section begins with its name at the first column")
	}
}

func isMarker(line string) bool {
	return strings.HasPrefix(line, "---") || strings.HasPrefix(line, "...")
}

func (s *splitting) checkKey(keys []keyLine, key keyLine) {
	known := key.name == revisionsKey || slices.Contains(SectionNames(), key.name)
	if !known {
		s.fail(key.line, key.name, "unknown section %s; the sections are %s", key.name, strings.Join(SectionNames(), ", "))
		return
	}
	rival := slices.IndexFunc(keys, func(k keyLine) bool { return k.name == key.name })
	if rival >= 0 {
		s.fail(key.line, key.name, "section %s is given twice, first at %s:%d:1", key.name, s.file, keys[rival].line+1)
	}
}

// revisionsFile is the shape of the revisions' text.
type revisionsFile struct {
	Revisions Revisions
}

func (s *splitting) revisions(part Section) *Revisions {
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
