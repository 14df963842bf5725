package publisher

import (
	"context"
	"errors"
	"fmt"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

const maxCachedTexts = 64

// textStore reads and writes section texts. It caches the most recently used ones;
// objects are immutable, so that the cache never becomes stale.
type textStore struct {
	objects storer.Objects
	cache   *lru.Cache[string, string]
}

func newTextStore(objects storer.Objects) *textStore {
	cache, err := lru.New[string, string](maxCachedTexts)
	if err != nil {
		panic(err)
	}
	return &textStore{objects: objects, cache: cache}
}

// text returns the text of a section, or "" if the section was removed.
func (t *textStore) text(ctx context.Context, state SectionState) (string, error) {
	if state.Object == "" {
		return "", nil
	}
	if text, ok := t.cache.Get(state.Object); ok {
		return text, nil
	}
	body, err := t.objects.Get(ctx, state.Object)
	if err != nil {
		return "", fmt.Errorf("reading section %s: %w", state.Section, err)
	}
	if compiler.HashKey(string(body)) != state.Hash {
		return "", fmt.Errorf("section %s does not match its hash: %w", state.Section, storer.ErrNotFound)
	}
	t.cache.Add(state.Object, string(body))
	return string(body), nil
}

// textObject is the object that stores the text of one section.
type textObject struct{ key, text string }

// put writes an object. If the outcome is in doubt it reads the object back.
func (t *textStore) put(ctx context.Context, o textObject) error {
	err := t.objects.Put(ctx, o.key, []byte(o.text))
	if !errors.Is(err, storer.ErrInDoubt) {
		return err
	}
	body, readErr := t.objects.Get(ctx, o.key)
	if readErr == nil && string(body) == o.text {
		return nil
	}
	return err
}

// document returns the complete document of a version.
func (t *textStore) document(ctx context.Context, manifest *Manifest) (compiler.Document, error) {
	document := compiler.Document{Number: manifest.Version}
	for _, state := range manifest.Sections {
		if state.Object == "" {
			continue
		}
		text, err := t.text(ctx, state)
		if err != nil {
			return compiler.Document{}, err
		}
		document.Sections = append(document.Sections, compiler.Section{
			Name: state.Section,
			File: fmt.Sprintf("%s@%d", state.Section, state.Revision),
			Text: text,
		})
	}
	return document, nil
}
