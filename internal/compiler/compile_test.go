package compiler_test

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
	"github.com/wigeonstand/wigeonstand/internal/loader"
)

const validDocument = `# Who shares the system.
Businesses:
  - Name: acme
    Weight: 2
    RetryShare: 0.1
    KeyHashes: [8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a]

Agents:
- Business: acme
  Name: chat
  Model: m-1
  MaxTurns: 10
  MaxOutput: 100
  MaxHistory: 1000
  WallLimit: 1h
  IdleTimeout: 1m
- Business: acme
  Name: batch
  Model: m-1
  MaxTurns: 10
  MaxOutput: 100
  MaxHistory: 1000
  WallLimit: 1h
  IdleTimeout: 1m

Budgets:
  - {Business: acme, Tokens: 100000}
  - {Business: acme, Agent: chat, Tokens: 5000}
  - {Business: acme, Agent: batch, Tokens: 6000}
# The chat is served first.
Precedence:
  - Business: acme
    Order: [chat]
Endpoints:
  - {Name: e-1, Address: "127.0.0.1:1", DataCentre: dc-1, Models: [m-1], Slots: 4, CacheTokens: 100}
  - {Name: s-1, Address: "127.0.0.1:2", DataCentre: dc-1, Service: post, Slots: 4}
Services:
  - {Name: post, Business: acme, Timeout: 2s, StatusPath: /status}
Operators:
  - Name: ann
    KeyHash: 65c74c15a686187bb6bbf9958f494fc6b80068034a659a9ad44991b08c58f2d2
    Sections: [Agents, Programs]
`

func split(t *testing.T, text string) compiler.Document {
	t.Helper()
	document, _, err := compiler.Split("doc.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return document
}

func TestCompileBuildsVersion(t *testing.T) {
	document := split(t, validDocument)
	document.Number = 7
	got, err := compiler.Compile(document)
	if err != nil {
		t.Fatal(err)
	}
	agent := func(name string, precedence, budget int) *compiler.Agent {
		return &compiler.Agent{
			Business: "acme", Name: name, Model: "m-1", Precedence: precedence, Budget: budget,
			MaxTurns: 10, MaxOutput: 100, MaxHistory: 1000, WallLimit: time.Hour, IdleTimeout: time.Minute,
		}
	}
	want := &compiler.Version{
		Number: 7,
		Businesses: map[string]*compiler.Business{"acme": {
			Name: "acme", Weight: 2, Budget: 100000, RetryShare: 0.1, KeyHashes: []string{compiler.HashKey("k")},
		}},
		Agents: map[string]*compiler.Agent{"acme/chat": agent("chat", 1, 5000), "acme/batch": agent("batch", 2, 6000)},
		Endpoints: map[string]*compiler.Endpoint{
			"e-1": {
				Name: "e-1", Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "dc-1",
				Models: []string{"m-1"}, Slots: 4, CacheTokens: 100,
			},
			"s-1": {
				Name: "s-1", Address: netip.MustParseAddrPort("127.0.0.1:2"), DataCentre: "dc-1",
				Service: "post", Slots: 4,
			},
		},
		Services: map[string]*compiler.Service{"post": {
			Name: "post", Business: "acme", StatusPath: "/status", Timeout: 2 * time.Second,
		}},
		Operators: map[string]*compiler.Operator{"ann": {
			Name: "ann", KeyHash: compiler.HashKey("o"), Sections: []string{"Agents", "Programs"},
		}},
		Policy: compiler.DefaultPolicy(),
	}
	if diff := cmp.Diff(want, got, cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
}

func TestSplitKeepsTextAndPositions(t *testing.T) {
	document := split(t, validDocument)
	precedence, _ := document.Section(compiler.SectionPrecedence)
	want := compiler.Section{
		Name: "Precedence", File: "doc.yaml", Line: 30,
		Text: "# The chat is served first.\nPrecedence:\n  - Business: acme\n    Order: [chat]\n",
	}
	if diff := cmp.Diff(want, precedence); diff != "" {
		t.Error(diff)
	}
	rejoined := split(t, document.Text())
	if diff := cmp.Diff(document.Text(), rejoined.Text()); diff != "" {
		t.Error(diff)
	}
}

func TestSplitReadsRevisions(t *testing.T) {
	_, revisions, err := compiler.Split("doc.yaml", []byte("Revisions: {Agents: 3}\nAgents: []\n"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&compiler.Revisions{Agents: 3}, revisions); diff != "" {
		t.Error(diff)
	}
}

func TestSplitReportsEveryError(t *testing.T) {
	_, _, err := compiler.Split("doc.yaml", []byte("stray\nAgents: []\nWidgets:\n---\nAgents: []\nRevisions: {Agents: -1}\n"))
	want := `doc.yaml:1:1: text before the first section; a section begins with its name at the first column
doc.yaml:3:1: unknown section Widgets; the sections are Businesses, Agents, Budgets, Precedence, Endpoints, Services, Operators, Policy
doc.yaml:4:1: document markers are not supported
doc.yaml:5:1: section Agents is given twice, first at doc.yaml:2:1
doc.yaml:6:21: Agents must be at least 0`
	if diff := cmp.Diff(want, loader.AsErrors(err).Error()); diff != "" {
		t.Error(diff)
	}
}

func TestCompileReportsEveryError(t *testing.T) {
	cases := map[string]struct {
		old, new string
		want     string
	}{
		"unknown business":         {"Order: [chat]", "Order: [chat]\n  - Business: ghost\n    Order: [chat]", "doc.yaml:34:15: unknown business ghost; Businesses is at doc.yaml:2:1\ndoc.yaml:35:13: unknown agent ghost/chat; Agents is at doc.yaml:8:1"},
		"agent without a budget":   {"  - {Business: acme, Agent: chat, Tokens: 5000}\n", "", "doc.yaml:10:9: agent acme/chat has no budget; Budgets is at doc.yaml:26:1"},
		"address twice":            {"127.0.0.1:2", "127.0.0.1:1", "doc.yaml:36:26: address 127.0.0.1:1 is given twice, first at doc.yaml:35:26"},
		"model without endpoint":   {"Models: [m-1]", "Models: [m-2]", "doc.yaml:11:10: no endpoint serves model m-1; Endpoints is at doc.yaml:34:1\ndoc.yaml:19:10: no endpoint serves model m-1; Endpoints is at doc.yaml:34:1"},
		"service without endpoint": {"Service: post", "Service: past", "doc.yaml:36:68: unknown service past; Services is at doc.yaml:37:1\ndoc.yaml:38:12: service post has no endpoint; Endpoints is at doc.yaml:34:1"},
		"unknown agent":            {"Order: [chat]", "Order: [chat, chat, chit]", "doc.yaml:33:19: agent chat is given twice, first at doc.yaml:33:13\ndoc.yaml:33:25: unknown agent acme/chit; Agents is at doc.yaml:8:1"},
		"negative number":          {"Tokens: 5000", "Tokens: -5000", "doc.yaml:28:43: Tokens must be at least 1"},
		"bad hash":                 {"KeyHash: 65c", "KeyHash: 65C", "doc.yaml:41:14: KeyHash must be a SHA-256 sum of 64 lower-case hexadecimal digits"},
		"key used twice":           {"KeyHash: 65c74c15a686187bb6bbf9958f494fc6b80068034a659a9ad44991b08c58f2d2", "KeyHash: 8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a", "doc.yaml:41:14: the key is given twice, first at doc.yaml:6:17"},
		"unknown right":            {"[Agents, Programs]", "[Agent]", `doc.yaml:42:16: unknown section or right "Agent"; must be one of Businesses, Agents, Budgets, Precedence, Endpoints, Services, Operators, Policy, Programs, Instances, *`},
		"agent twice":              {"Name: batch", "Name: chat", "doc.yaml:18:9: agent acme/chat is given twice, first at doc.yaml:10:9\ndoc.yaml:29:29: unknown agent acme/batch; Agents is at doc.yaml:8:1"},
		"budget below one turn":    {"Tokens: 6000", "Tokens: 60", "doc.yaml:29:44: the budget does not cover one turn; MaxOutput is at doc.yaml:21:14"},
		"budget above business":    {"Tokens: 6000", "Tokens: 600000", "doc.yaml:29:44: the budget of a program is more than the budget of the business at doc.yaml:27:30"},
		"two roles":                {"Service: post, Slots", "Service: post, Models: [x], Slots", "doc.yaml:36:82: endpoint s-1 has Models and also a Service at doc.yaml:36:68"},
		"syntax of one section":    {"Businesses:", "Businesses: [", "doc.yaml:2:13: sequence end token ']' not found"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := compiler.Compile(split(t, strings.Replace(validDocument, c.old, c.new, 1)))
			if diff := cmp.Diff(c.want, loader.AsErrors(err).Error()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestCompileRejectsSecondSectionInText(t *testing.T) {
	text := "Agents: []\nOperators: []\n"
	_, err := compiler.Compile(compiler.Document{Sections: []compiler.Section{{Name: "Agents", File: "agents.yaml", Text: text}}})
	if diff := cmp.Diff("agents.yaml:2:1: unknown field Operators", loader.AsErrors(err).Error()); diff != "" {
		t.Error(diff)
	}
}

func FuzzCompile(f *testing.F) {
	for _, seed := range []string{validDocument, "", "Agents:\n", "Agents: [{}]\n", "Policy: {Queue: x}\n", "# only\n", "Agents: {a: b}\nAgents: [\n", "Endpoints:\n- Address: 0.0.0.0:0\n"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		document, _, err := compiler.Split("doc.yaml", []byte(text))
		if err != nil {
			return
		}
		version, err := compiler.Compile(document)
		if err != nil {
			return
		}
		rejoined, err := compiler.Compile(split(t, document.Text()))
		if err != nil {
			t.Fatalf("joined text of the sections does not compile: %v", err)
		}
		if diff := cmp.Diff(version, rejoined, cmpopts.EquateComparable(netip.AddrPort{}), cmpopts.EquateEmpty()); diff != "" {
			t.Error(diff)
		}
	})
}
