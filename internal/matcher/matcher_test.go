package matcher_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/matcher"
)

func TestMatch(t *testing.T) {
	table := matcher.New(1, matcher.Limits{}, nil, []matcher.Route{
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

func TestPickServiceIsProportionalToWeights(t *testing.T) {
	route := matcher.Route{Services: []matcher.WeightedService{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}, {Service: "c", Weight: 0}}}
	counts := map[string]int{}
	for i := range uint64(1000) {
		counts[route.PickService(i)]++
	}
	if diff := cmp.Diff(map[string]int{"a": 900, "b": 100}, counts); diff != "" {
		t.Error(diff)
	}
	if got := (&matcher.Route{}).PickService(3); got != "" {
		t.Errorf("a route without services picked %q", got)
	}
}

func TestIdempotent(t *testing.T) {
	for _, tc := range []struct {
		route matcher.Route
		want  bool
	}{
		{matcher.Route{Kind: matcher.Safe}, true},
		{matcher.Route{Kind: matcher.Unsafe}, false},
		{matcher.Route{Kind: matcher.Unsafe, Resumable: true}, false},
		{matcher.Route{Kind: matcher.Stream}, false},
		{matcher.Route{Kind: matcher.Stream, Resumable: true}, true},
	} {
		if diff := cmp.Diff(tc.want, tc.route.Idempotent()); diff != "" {
			t.Error(fmt.Sprintf("%+v", tc.route), diff)
		}
	}
}
