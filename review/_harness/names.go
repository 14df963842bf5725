package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var namesText []byte

// names has the platform's names of headers and fields.
var names = func() map[string]string {
	out := map[string]string{}
	if err := json.Unmarshal(namesText, &out); err != nil {
		panic(err) // The file is part of the program.
	}
	return out
}()
