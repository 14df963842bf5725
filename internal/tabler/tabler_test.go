package tabler_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/tabler"
)

func TestMatch(t *testing.T) {
	table := tabler.New(1, tabler.Limits{}, nil, []tabler.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.Example:80", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := table.Match(tc.host, tc.path); r != nil {
			got = r.Name
		}
		if diff := cmp.Diff(tc.want, got); diff != "" {
			t.Errorf("%s%s: %s", tc.host, tc.path, diff)
		}
	}
}

func TestServiceFollowsTheWeights(t *testing.T) {
	route := tabler.Route{Backends: []tabler.Backend{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for i := range uint64(1000) {
		counts[route.Service(i)]++
	}
	if diff := cmp.Diff(map[string]int{"a": 900, "b": 100}, counts); diff != "" {
		t.Error(diff)
	}
	if got := (&tabler.Route{}).Service(3); got != "" {
		t.Errorf("a route without backends goes to %q", got)
	}
}

func TestIdempotent(t *testing.T) {
	for _, tc := range []struct {
		route tabler.Route
		want  bool
	}{
		{tabler.Route{Kind: tabler.Safe}, true},
		{tabler.Route{Kind: tabler.Unsafe}, false},
		{tabler.Route{Kind: tabler.Unsafe, Resumable: true}, false},
		{tabler.Route{Kind: tabler.Stream}, false},
		{tabler.Route{Kind: tabler.Stream, Resumable: true}, true},
	} {
		if diff := cmp.Diff(tc.want, tc.route.Idempotent()); diff != "" {
			t.Error(fmt.Sprintf("%+v", tc.route), diff)
		}
	}
}
