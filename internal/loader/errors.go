package loader

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Position is a position in a file. Lines and columns count from 1.
type Position struct {
	File   string
	Line   int
	Column int
}

// String returns the position as file:line:column.
func (p Position) String() string {
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

// Compare orders positions by file, line and column.
func (p Position) Compare(other Position) int {
	return cmp.Or(
		cmp.Compare(p.File, other.File),
		cmp.Compare(p.Line, other.Line),
		cmp.Compare(p.Column, other.Column),
	)
}

// Error is one error found in a text.
type Error struct {
	Position
	// Field is the path of the value, such as Agents[2].Model. It is empty if
	// the text could not be parsed as YAML.
	Field   string
	Message string
}

// String returns the error as one line.
func (e Error) String() string {
	return fmt.Sprintf("%s: %s", e.Position, e.Message)
}

// Errors lists all errors found in one or more texts. Return it through Err,
// which returns nil for an empty list.
type Errors []Error

// Error returns the errors, one a line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, item := range e {
		lines[i] = item.String()
	}
	return strings.Join(lines, "\n")
}

// Add appends an error with a formatted message.
func (e *Errors) Add(position Position, field, format string, args ...any) {
	*e = append(*e, Error{Position: position, Field: field, Message: fmt.Sprintf(format, args...)})
}

// Err returns the errors sorted by position and field, or nil if there are none.
func (e Errors) Err() error {
	if len(e) == 0 {
		return nil
	}
	sorted := slices.Clone(e)
	slices.SortStableFunc(sorted, func(a, b Error) int {
		return cmp.Or(a.Compare(b.Position), cmp.Compare(a.Field, b.Field))
	})
	return sorted
}

// Has reports whether there is an error at the field or inside it.
func (e Errors) Has(field string) bool {
	return slices.ContainsFunc(e, func(item Error) bool {
		rest, inside := strings.CutPrefix(item.Field, field)
		return inside && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}

// AsErrors returns the Errors that err wraps. Any other non-nil error is
// returned as a single Error without a position.
func AsErrors(err error) Errors {
	if err == nil {
		return nil
	}
	var list Errors
	if errors.As(err, &list) {
		return list
	}
	return Errors{{Message: err.Error()}}
}
