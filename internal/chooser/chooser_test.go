package chooser_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/chooser"
	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

func candidates(loads ...float64) []registrar.Candidate {
	var out []registrar.Candidate
	for i, load := range loads {
		out = append(out, registrar.Candidate{
			Endpoint: registrar.Endpoint{ID: fmt.Sprintf("e-%d", i), Slots: 8, DataCentre: fmt.Sprintf("dc-%d", i%3)}, Load: load,
		})
	}
	return out
}

func homeOf(t *testing.T, program string, all []registrar.Candidate) string {
	t.Helper()
	i := chooser.ForProgram(program, all, 2)
	if i < 0 {
		t.Fatal("no endpoint chosen")
	}
	return all[i].ID
}

func TestProgramsAreSpreadAndKeepTheirHome(t *testing.T) {
	all := candidates(make([]float64, 9)...)
	counts, moved := map[string]int{}, 0
	for i := range 3000 {
		program := fmt.Sprint("program-", i)
		home := homeOf(t, program, all)
		counts[home]++
		if home != "e-8" && homeOf(t, program, all[:8]) != home {
			moved++
		}
	}
	for id, n := range counts {
		if n < 250 || n > 420 {
			t.Errorf("%s is the home of %d of 3000 programs", id, n)
		}
	}
	if moved > 0 {
		t.Errorf("%d programs changed their home although it is still a candidate", moved)
	}
}

// Under sustained overload all endpoints are full to different degrees. Programs
// must keep their home because only its cache has their prompts.
func TestOverloadedProgramsKeepTheirHome(t *testing.T) {
	even := candidates(make([]float64, 9)...)
	full := candidates(14, 20, 9, 16, 22, 11, 18, 13, 24)
	for i := range 500 {
		program := fmt.Sprint("program-", i)
		if diff := cmp.Diff(homeOf(t, program, even), homeOf(t, program, full)); diff != "" {
			t.Fatalf("%s changed its home: %s", program, diff)
		}
	}
}

func TestProgramLeavesAnOverloadedHome(t *testing.T) {
	all := candidates(make([]float64, 9)...)
	home := homeOf(t, "p", all)
	for i := range all {
		if all[i].ID == home {
			all[i].Load = 17
		}
	}
	if homeOf(t, "p", all) == home {
		t.Error("home chosen although it has 17 requests more than the others")
	}
}

func TestFailingEndpointIsAvoided(t *testing.T) {
	all := candidates(make([]float64, 9)...)
	home := homeOf(t, "p", all)
	for i := range all {
		all[i].Avoid = all[i].ID == home
	}
	if homeOf(t, "p", all) == home {
		t.Error("home chosen although it is to be avoided")
	}
	for i := range all {
		all[i].Avoid = true
	}
	homeOf(t, "p", all) // An endpoint is chosen even if all are to be avoided.
}

func TestLeastLoaded(t *testing.T) {
	for _, tc := range []struct {
		name string
		all  []registrar.Candidate
		want int
	}{
		{"none", nil, -1},
		{"least", candidates(3, 1, 2), 1},
		{"own data centre first among equal loads", candidates(2, 2, 2), 0},
		{"other data centre before full endpoints", candidates(9, 1, 9), 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if diff := cmp.Diff(tc.want, chooser.LeastLoaded("r", "dc-0", tc.all)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Instances that see the same loads must not all choose the same endpoint.
func TestEqualLoadsSpreadRequests(t *testing.T) {
	all := candidates(make([]float64, 6)...)
	counts := map[int]int{}
	for i := range 600 {
		counts[chooser.LeastLoaded(fmt.Sprint("request-", i), "elsewhere", all)]++
	}
	for i, n := range counts {
		if n < 60 || n > 150 {
			t.Errorf("endpoint %d was chosen %d times of 600", i, n)
		}
	}
}
