// Package loader decodes YAML text strictly into Go structures. Unknown fields,
// wrong types and failed validation rules are collected in one pass, each with
// its position. Checks that span several structures are left to the callers.
package loader

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Source is a YAML text and its location in a file.
type Source struct {
	File string
	// Line is the line number in the file of the first line of Text; zero means 1.
	Line int
	Text []byte
}

// position returns the position of the token in the file.
func (s Source) position(t *token.Token) Position {
	first := max(s.Line, 1)
	if t == nil || t.Position == nil {
		return Position{File: s.File, Line: first, Column: 1}
	}
	return Position{File: s.File, Line: first + max(t.Position.Line, 1) - 1, Column: max(t.Position.Column, 1)}
}

// Load decodes the source into the structure that into points to and then
// checks the validator/v10 tags of the structure. YAML keys are the Go field
// names; fields absent from the text keep their values. A non-nil error is of
// type Errors. The returned positions are never nil.
func Load(source Source, into any) (*Positions, error) {
	l := &loadState{source: source, positions: newPositions(source), failed: map[string]bool{}}
	root, parseError := Parse(source)
	if parseError != nil {
		l.errors = append(l.errors, *parseError)
		return l.positions, l.errors.Err()
	}
	if root != nil {
		l.bind("", root, reflect.ValueOf(into).Elem())
	}
	l.validate(into)
	return l.positions, l.errors.Err()
}

// Parse returns the root node of the source's single YAML document, or nil if
// the document is empty. It accepts anchors, which Load rejects.
func Parse(source Source) (root ast.Node, parseError *Error) {
	// The parser panics on some malformed texts.
	defer func() {
		if cause := recover(); cause != nil {
			root = nil
			parseError = &Error{Position: source.position(nil), Message: fmt.Sprintf("not readable as YAML: %v", cause)}
		}
	}()
	if at := bytes.IndexByte(source.Text, 0); at >= 0 {
		line := 1 + bytes.Count(source.Text[:at], []byte("\n"))
		column := at - bytes.LastIndexByte(source.Text[:at], '\n')
		t := &token.Token{Position: &token.Position{Line: line, Column: column}}
		return nil, &Error{Position: source.position(t), Message: "the text contains a NUL byte"}
	}
	// The parser reads a last line differently if it has no line feed.
	text := append(slices.Clip(bytes.TrimRight(source.Text, "\r\n")), '\n')
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, source.syntaxError(err)
	}
	return source.singleDocument(file)
}

func (s Source) singleDocument(file *ast.File) (ast.Node, *Error) {
	var root ast.Node
	for _, document := range file.Docs {
		if document.Body == nil {
			continue
		}
		if root != nil {
			return nil, &Error{
				Position: s.position(document.Body.GetToken()),
				Message:  "a second YAML document begins here; only one is allowed",
			}
		}
		root = document.Body
	}
	return root, nil
}

// tokenError is implemented by the syntax errors of the YAML parser.
type tokenError interface {
	GetToken() *token.Token
	GetMessage() string
}

func (s Source) syntaxError(err error) *Error {
	if located, ok := err.(tokenError); ok {
		return &Error{Position: s.position(located.GetToken()), Message: located.GetMessage()}
	}
	return &Error{Position: s.position(nil), Message: err.Error()}
}

// loadState is the state of one call of Load.
type loadState struct {
	source    Source
	positions *Positions
	errors    Errors
	// failed holds the paths whose values could not be decoded.
	failed map[string]bool
}

// fail records an error for the value at the path, which could not be decoded.
func (l *loadState) fail(path string, node ast.Node, format string, args ...any) {
	l.failed[path] = true
	l.errors.Add(l.source.position(firstToken(node)), path, format, args...)
}
