package loader

import "strings"

// Positions tells where the values of a loaded text stand.
type Positions struct {
	root  Position
	paths map[string]Position
	// keys holds the positions of the keys of mappings.
	keys map[string]Position
}

func newPositions(source Source) *Positions {
	return &Positions{root: source.position(nil), paths: map[string]Position{}, keys: map[string]Position{}}
}

// At returns the position of the value at the path, such as Agents[2].Model.
// For a value that the text does not hold it is that of the nearest value
// around it.
func (p *Positions) At(path string) Position {
	for path != "" {
		if position, ok := p.paths[path]; ok {
			return position
		}
		path = parent(path)
	}
	return p.root
}

// KeyAt returns the position of the key of the field at the path, or that of the
// text if it does not hold the field.
func (p *Positions) KeyAt(path string) Position {
	if position, ok := p.keys[path]; ok {
		return position
	}
	return p.root
}

// Contains says whether the text holds a value at the path.
func (p *Positions) Contains(path string) bool {
	_, ok := p.paths[path]
	return ok
}

func parent(path string) string {
	return path[:max(strings.LastIndexAny(path, ".["), 0)]
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
