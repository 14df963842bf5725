package receiver

import (
	"encoding/json"
	"testing"
	"unicode/utf8"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
)

func FuzzDecodeJSON(f *testing.F) {
	for _, seed := range []string{
		``, `{}`, `null`, `{"Input":"x"}`, `{"Input":"x"} `, `{"Input":"\ud800"}`, `{"Input":"x","INPUT":"y"}`,
		`{"Input":"x"}{}`, `{"Number":1e3}`, `{"Number":-0}`, `{"Input":"[[[[[[[[[[[[[[[[[[\"[["}`,
		`{"Input":[[[[[[[[[[[[[[[[[[]]]]]]]]]]]]]]]]]]}`, `{"Input":"x",}`, `{"":0,"":0}`, "{\"Input\":\"\xff\"}",
		`{"Stream":true,"Input":"x","Key":"k","MaxTokens":1,"Chain":"c","Number":1}`, `]`, `"\`, `{"ſtream":true}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		var turn TurnRequest
		err := decodeJSON(body, &turn)
		if err != nil {
			if kind := answerer.KindOf(err); kind != answerer.BadRequest {
				t.Errorf("kind %s for %q", kind, body)
			}
			return
		}
		if !utf8.Valid(body) || !json.Valid(body) || nestingDepth(body) > maximumNesting {
			t.Errorf("%q was accepted", body)
		}
		if !utf8.ValidString(turn.Input) {
			t.Errorf("%q was decoded to the invalid input %q", body, turn.Input)
		}
	})
}
