package loader_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/wigeonstand/wigeonstand/internal/loader"
)

type record struct {
	Name    string `validate:"name"`
	Count   int    `validate:"min=1"`
	Share   float64
	Wait    time.Duration `validate:"min=1s"`
	Address netip.AddrPort
	Flag    bool
	Items   []item `validate:"dive"`
}

type item struct {
	Label string `validate:"required"`
	Tags  []string
}

func load(text string) (record, error) {
	var into record
	_, err := loader.Load(loader.Source{File: "a.yaml", Text: []byte(text)}, &into)
	return into, err
}

func TestLoadReadsEveryType(t *testing.T) {
	got, err := load(`
Name: tally
Count: 1_000
Share: 1
Wait: 1m30s
Address: 127.0.0.1:80
Flag: true
Items:
  - Label: |
      two
      lines
    Tags: [a, b]
`)
	if err != nil {
		t.Fatal(err)
	}
	want := record{
		Name: "tally", Count: 1000, Share: 1, Wait: 90 * time.Second,
		Address: netip.MustParseAddrPort("127.0.0.1:80"), Flag: true,
		Items: []item{{Label: "two\nlines\n", Tags: []string{"a", "b"}}},
	}
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{})); diff != "" {
		t.Error(diff)
	}
}

func TestLoadReportsEveryError(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"all at once": {
			text: "name: x\nName: Tray Audit\nCount: many\nWait: 20\nShare: yes\nAddress: nowhere\nFlag: 1\nItems:\n  - Tags: [1, b]\n    Extra: 1\n  - Label: \"\"\nName: again\n",
			want: `a.yaml:1:1: unknown field name; did you mean Name?
a.yaml:2:7: Name must be lower-case letters, digits and hyphens, not "Tray Audit"
a.yaml:3:8: Count must be a whole number
a.yaml:4:7: Wait must be a duration such as 20s
a.yaml:5:8: Share must be a number
a.yaml:6:10: Address is invalid: not an ip:port
a.yaml:7:7: Flag must be true or false
a.yaml:9:5: Label is required
a.yaml:9:12: Tags[0] must be text
a.yaml:10:5: unknown field Extra
a.yaml:11:12: Label is required
a.yaml:12:1: Name is given twice, first at a.yaml:2:1`,
		},
		"syntax":           {"Name: [\n", "a.yaml:1:7: sequence end token ']' not found"},
		"two documents":    {"Name: a\n---\nName: b\n", "a.yaml:3:5: a second YAML document begins here; only one is allowed"},
		"alias":            {"Name: a\nCount: 1\nWait: 1s\nItems: &x []\n", "a.yaml:4:8: anchors, aliases and merge keys are not supported"},
		"no value":         {"Name:\nCount: 1\nWait: 1s\n", "a.yaml:1:6: Name has no value"},
		"not a mapping":    {"- a\n", "a.yaml:1:1: the text must be a mapping"},
		"too large":        {"Name: a\nWait: 1s\nCount: 18446744073709551615\n", "a.yaml:3:8: Count is too large"},
		"NUL byte":         {"Name: a\nWait: \x00\n", "a.yaml:2:7: the text contains a NUL byte"},
		"negative numbers": {"Name: a\nCount: -4\nWait: -3s\n", "a.yaml:2:8: Count must be at least 1\na.yaml:3:7: Wait must be at least 1s"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := load(c.text)
			if err == nil {
				t.Fatal("Load accepted an invalid text")
			}
			if diff := cmp.Diff(c.want, err.Error()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestLoadReportsPositionsInFile(t *testing.T) {
	var into record
	source := loader.Source{File: "b.yaml", Line: 40, Text: []byte("# note\nName: a\nCount: 0\nWait: 1s\n")}
	positions, err := loader.Load(source, &into)
	want := loader.Errors{{
		Position: loader.Position{File: "b.yaml", Line: 42, Column: 8},
		Field:    "Count",
		Message:  "Count must be at least 1",
	}}
	if diff := cmp.Diff(want, loader.AsErrors(err)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(loader.Position{File: "b.yaml", Line: 41, Column: 7}, positions.At("Name")); diff != "" {
		t.Error(diff)
	}
}

func FuzzLoad(f *testing.F) {
	for _, seed := range []string{
		"", "Name: a\n", "Items:\n  - Label: x\n", "Items: [{Label: x}, {}]", "? a\n: b\n", "{", "&a *a", "!!x y",
		"Name: |\n", "- - -\n", "a: b: c", "<<: *x", "%YAML 1.2\n---\n", "Wait: 1s\nWait: 2s", "\"\\u", "Items:\n- \n", "Name: >-\n\n#",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		_, err := load(text)
		for _, e := range loader.AsErrors(err) {
			if e.Line < 1 || e.Column < 1 || e.File == "" {
				t.Errorf("error without a position: %+v", e)
			}
		}
	})
}
