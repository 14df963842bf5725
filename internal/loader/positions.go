package loader

import "strings"

// Positions maps the field paths of a loaded text to positions in its file.
type Positions struct {
	root   Position
	values map[string]Position
	// values and keys hold the positions of the values and of their mapping keys.
	keys map[string]Position
}

func newPositions(source Source) *Positions {
	return &Positions{root: source.position(nil), values: map[string]Position{}, keys: map[string]Position{}}
}

// At returns the position of the value at the path, such as Agents[2].Model.
// If the text does not contain it, At returns the position of the innermost
// enclosing value.
func (p *Positions) At(path string) Position {
	for path != "" {
		if position, ok := p.values[path]; ok {
			return position
		}
		path = parentPath(path)
	}
	return p.root
}

// KeyAt returns the position of the key of the field at the path, or of the
// start of the text if the text does not contain the field.
func (p *Positions) KeyAt(path string) Position {
	if position, ok := p.keys[path]; ok {
		return position
	}
	return p.root
}

// Contains reports whether the text contains a value at the path.
func (p *Positions) Contains(path string) bool {
	_, ok := p.values[path]
	return ok
}

func parentPath(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
