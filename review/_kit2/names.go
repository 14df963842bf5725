package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names are the platform's names, which no Go file outside of platform/ may hold.
var names = func() (names map[string]string) {
	if err := json.Unmarshal(namesText, &names); err != nil {
		panic(err)
	}
	return names
}()
