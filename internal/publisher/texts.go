package publisher

import (
	"context"
	"errors"
	"fmt"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/storer"
)

// cachedTexts is the number of section texts kept in memory.
const cachedTexts = 64

// texts reads section texts and keeps the ones read last; objects never change.
type texts struct {
	objects storer.Objects
	cache   *lru.Cache[string, string]
}

func newTexts(objects storer.Objects) *texts {
	cache, err := lru.New[string, string](cachedTexts)
	if err != nil {
		panic(err)
	}
	return &texts{objects: objects, cache: cache}
}

// text returns the text of a section; a removed one is empty.
func (t *texts) text(ctx context.Context, state SectionState) (string, error) {
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

// object is the text of a section as it is kept.
type object struct{ key, text string }

// put writes an object. If the answer is lost the object is read back.
func (t *texts) put(ctx context.Context, o object) error {
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

// document returns the whole document of a version.
func (t *texts) document(ctx context.Context, manifest *Manifest) (compiler.Document, error) {
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
