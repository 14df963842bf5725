package publisher

import (
	"context"
	"encoding/json"

	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

// bundle is a complete version in the form that instances exchange.
type bundle struct {
	Manifest Manifest
	Texts    []bundleText
}

type bundleText struct {
	Section string
	Text    string
}

func newBundle(ctx context.Context, texts *textStore, manifest Manifest) (*bundle, error) {
	b := &bundle{Manifest: manifest}
	for _, state := range manifest.Sections {
		text, err := texts.text(ctx, state)
		if err != nil {
			return nil, err
		}
		if text != "" {
			b.Texts = append(b.Texts, bundleText{Section: state.Section, Text: text})
		}
	}
	return b, nil
}

func decodeBundle(body []byte) (*bundle, error) {
	var b bundle
	if err := json.Unmarshal(body, &b); err != nil {
		return nil, eris.Wrap(err, "decoding a document fetched from another instance")
	}
	for _, state := range b.Manifest.Sections {
		if normalizedTextHash(b.text(state.Section)) != state.Hash {
			return nil, eris.Errorf("section %s of a document fetched from another instance does not match its hash", state.Section)
		}
	}
	return &b, nil
}

func normalizedTextHash(text string) string {
	if text == "" {
		return ""
	}
	return compiler.HashKey(text)
}

func (b *bundle) text(section string) string {
	for _, t := range b.Texts {
		if t.Section == section {
			return t.Text
		}
	}
	return ""
}

// compile compiles the bundle's document.
func (b *bundle) compile(k *compiler.Compiler) (*compiler.Version, error) {
	document := compiler.Document{Number: b.Manifest.Version}
	for _, t := range b.Texts {
		document.Sections = append(document.Sections, compiler.Section{Name: t.Section, File: t.Section, Text: t.Text})
	}
	return k.Compile(document)
}
