package chooser_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/chooser"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// Guards against objects that move between endpoints as the loads or the order of the
// candidates change, and against objects that crowd on few endpoints.
func TestObjectsKeepTheirEndpoint(t *testing.T) {
	idle := candidates(make([]float64, 12)...)
	busy := candidates(3, 1, 2, 0, 4, 2, 1, 3, 2, 0, 1, 4)
	slices.Reverse(busy)
	counts, moved := map[string]int{}, 0
	for i := range 1200 {
		object := fmt.Sprint("object-", i)
		home := idle[chooser.ForObject(object, idle)].ID
		counts[home]++
		if diff := cmp.Diff(home, busy[chooser.ForObject(object, busy)].ID); diff != "" {
			t.Fatal(object, diff)
		}
		rest := slices.DeleteFunc(slices.Clone(idle), func(c registrar.Candidate) bool { return c.ID == "e-3" })
		if home != "e-3" && rest[chooser.ForObject(object, rest)].ID != home {
			moved++
		}
	}
	for id, n := range counts {
		if n < 60 || n > 150 {
			t.Errorf("%s has %d of 1200 objects", id, n)
		}
	}
	if moved > 0 {
		t.Errorf("%d objects moved when another endpoint left", moved)
	}
}

// Guards against an object whose endpoint gets a queue while others are idle, and against calls
// that are not placed when its endpoints fail.
func TestLoadedEndpointsLoseTheirObjects(t *testing.T) {
	all := candidates(make([]float64, 6)...)
	first := chooser.ForObject("o", all)
	all[first].Load = 5
	second := chooser.ForObject("o", all)
	all[second].Avoid = true
	if first == second || second < 0 {
		t.Errorf("endpoints %d and %d; want two", first, second)
	}
	if got := chooser.ForObject("o", all); got != -1 {
		t.Errorf("endpoint %d chosen; want none", got)
	}
	if got := chooser.ForObject("o", nil); got != -1 {
		t.Errorf("endpoint %d of none chosen", got)
	}
}
