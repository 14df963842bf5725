package compiler_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/wigeonstand/wigeonstand/internal/compiler"
)

// documentOfSize returns a document of the given size with ten agent programs per
// business.
func documentOfSize(businesses, endpoints int) compiler.Document {
	var b, a, g, e strings.Builder
	b.WriteString("Businesses:\n")
	a.WriteString("Agents:\n")
	g.WriteString("Budgets:\n")
	e.WriteString("Endpoints:\n")
	for i := range businesses {
		fmt.Fprintf(&b, "  - Name: b-%d\n    Weight: 1\n    KeyHashes: [%s]\n", i, compiler.HashKey(fmt.Sprint(i)))
		for j := range 10 {
			fmt.Fprintf(&a, "  - Business: b-%d\n    Name: a-%d\n    Model: m-1\n    MaxTurns: 10\n    MaxOutput: 100\n", i, j)
			a.WriteString("    MaxHistory: 1000\n    WallLimit: 1h\n    IdleTimeout: 1m\n")
			fmt.Fprintf(&g, "  - {Business: b-%d, Agent: a-%d, Tokens: 5000}\n", i, j)
		}
	}
	for i := range endpoints {
		fmt.Fprintf(&e, "  - {Name: e-%d, Address: \"127.0.%d.%d:9001\", DataCentre: dc-1, Models: [m-1], Slots: 4}\n", i, i/250, i%250+1)
	}
	return compiler.Document{Number: 1, Sections: []compiler.Section{
		{Name: "Businesses", File: "b", Text: b.String()},
		{Name: "Agents", File: "a", Text: a.String()},
		{Name: "Budgets", File: "g", Text: g.String()},
		{Name: "Endpoints", File: "e", Text: e.String()},
	}}
}

func BenchmarkCompile(b *testing.B) {
	for _, size := range []struct{ businesses, endpoints int }{{2, 40}, {100, 300}, {500, 1400}} {
		b.Run(fmt.Sprintf("%dBusinesses%dEndpoints", size.businesses, size.endpoints), func(b *testing.B) {
			document := documentOfSize(size.businesses, size.endpoints)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := compiler.Compile(document); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("%dBusinesses%dEndpointsBudgetsEdited", size.businesses, size.endpoints), func(b *testing.B) {
			document, k := documentOfSize(size.businesses, size.endpoints), compiler.New()
			budgets := document.Sections[2].Text
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				document.Sections[2].Text = fmt.Sprintf("# %d\n%s", i, budgets)
				if _, err := k.Compile(document); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
