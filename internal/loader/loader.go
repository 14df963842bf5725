// Package loader owns strict reading of YAML text into Go structures: unknown
// fields, wrong types and failed validation are all found in one pass, each
// with its position. It does not own what the structures mean, nor checks that
// need more than one of them.
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

// Source is a YAML text and where it stands in a file.
type Source struct {
	File string
	// Line is the line in the file of the text's first line; zero means 1.
	Line int
	Text []byte
}

// position returns where a token stands in the file.
func (s Source) position(t *token.Token) Position {
	first := max(s.Line, 1)
	if t == nil || t.Position == nil {
		return Position{File: s.File, Line: first, Column: 1}
	}
	return Position{File: s.File, Line: first + max(t.Position.Line, 1) - 1, Column: max(t.Position.Column, 1)}
}

// Load reads the source into the structure that into points at. Fields are
// named as in Go; fields absent from the text keep their values. Tags of
// validator/v10 are checked afterwards. The error, if any, is of type Errors.
// The places are never nil.
func Load(source Source, into any) (*Positions, error) {
	l := &loading{source: source, places: newPositions(source), unread: map[string]bool{}}
	root, fault := Parse(source)
	if fault != nil {
		l.errors = append(l.errors, *fault)
		return l.places, l.errors.Err()
	}
	if root != nil {
		l.bind("", root, reflect.ValueOf(into).Elem())
	}
	l.validate(into)
	return l.places, l.errors.Err()
}

// Parse returns the only YAML document of the source, nil for an empty one.
// Anchors are left in the tree; Load refuses them.
func Parse(source Source) (root ast.Node, fault *Error) {
	// The parser is not proof against every malformed text.
	defer func() {
		if cause := recover(); cause != nil {
			root = nil
			fault = &Error{Position: source.position(nil), Message: fmt.Sprintf("not readable as YAML: %v", cause)}
		}
	}()
	if at := bytes.IndexByte(source.Text, 0); at >= 0 {
		line := 1 + bytes.Count(source.Text[:at], []byte("\n"))
		column := at - bytes.LastIndexByte(source.Text[:at], '\n')
		t := &token.Token{Position: &token.Position{Line: line, Column: column}}
		return nil, &Error{Position: source.position(t), Message: "the text holds a zero byte"}
	}
	// A last line without its end is read differently by the parser.
	text := append(slices.Clip(bytes.TrimRight(source.Text, "\r\n")), '\n')
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, source.syntaxFault(err)
	}
	return source.onlyDocument(file)
}

func (s Source) onlyDocument(file *ast.File) (ast.Node, *Error) {
	var root ast.Node
	for _, document := range file.Docs {
		if document.Body == nil {
			continue
		}
		if root != nil {
			return nil, &Error{
				Position: s.position(document.Body.GetToken()),
				Message:  "a second YAML document begins here; only one is read",
			}
		}
		root = document.Body
	}
	return root, nil
}

// tokenError is implemented by the errors of the YAML parser.
type tokenError interface {
	GetToken() *token.Token
	GetMessage() string
}

func (s Source) syntaxFault(err error) *Error {
	if located, ok := err.(tokenError); ok {
		return &Error{Position: s.position(located.GetToken()), Message: located.GetMessage()}
	}
	return &Error{Position: s.position(nil), Message: err.Error()}
}

// loading is the state of one call of Load.
type loading struct {
	source Source
	places *Positions
	errors Errors
	// unread holds the paths whose values could not be read.
	unread map[string]bool
}

// fail records that the value at the path could not be read.
func (l *loading) fail(path string, node ast.Node, format string, args ...any) {
	l.unread[path] = true
	l.errors.Add(l.source.position(firstToken(node)), path, format, args...)
}
