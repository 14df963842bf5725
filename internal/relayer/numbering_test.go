package relayer

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/resumer"
	"github.com/wigeonstand/wigeonstand/internal/splitter"
)

// forwarded returns the numbers that a caller gets of a response with the given ones, after the
// last event, up to a gap.
func forwarded(n *numberings, last splitter.EventID, response ...int64) (numbers []int64, hasGap bool) {
	f := n.follow(resumer.Origin{Service: "s", Version: "v"}, last)
	for _, number := range response {
		switch f.next(splitter.NewEventID(number)) {
		case isNext:
			numbers = append(numbers, number)
		case isBehindGap:
			return numbers, true
		case isRepeated:
		}
	}
	return numbers, false
}

// Callers got events twice whose stream began at 0, and no stream whose numbers had larger steps.
func TestResumptionGoesOnAfterTheLastEvent(t *testing.T) {
	after := splitter.NewEventID
	for name, c := range map[string]struct {
		// before are the numbers of a response that was followed before.
		before, response, want []int64
		last                   splitter.EventID
		hasGap                 bool
	}{
		"from its start":                   {response: []int64{0, 1, 2}, want: []int64{0, 1, 2}},
		"after zero":                       {last: after(0), response: []int64{1, 2}, want: []int64{1, 2}},
		"after zero, repeated":             {last: after(0), response: []int64{0, 1, 2}, want: []int64{1, 2}},
		"repeated":                         {last: after(2), response: []int64{1, 2, 3}, want: []int64{3}},
		"below zero":                       {last: after(-2), response: []int64{-2, -1}, want: []int64{-1}},
		"steps of four":                    {last: after(8), before: []int64{4, 8}, response: []int64{12, 14}, want: []int64{12, 14}},
		"uneven steps, the first by one":   {response: []int64{1, 2, 5, 9}, want: []int64{1, 2, 5, 9}},
		"uneven steps, taken up":           {last: after(2), before: []int64{1, 2, 5}, response: []int64{5, 9}, want: []int64{5, 9}},
		"unknown steps":                    {last: after(2), response: []int64{5, 9}, want: []int64{5, 9}},
		"gap":                              {last: after(2), before: []int64{1, 2}, response: []int64{4, 5}, hasGap: true},
		"gap behind repeated":              {last: after(2), before: []int64{1, 2}, response: []int64{1, 2, 4}, hasGap: false, want: []int64{4}},
		"gap within a response":            {before: consecutive(minStepsWithin + 1), response: []int64{1, 2, 4}, want: []int64{1, 2}, hasGap: true},
		"larger step within a first one":   {response: []int64{0, 10, 20}, want: []int64{0, 10, 20}},
		"number went back within a stream": {response: []int64{1, 2, 1, 2, 3}, want: []int64{1, 2, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNumberings()
			forwarded(n, splitter.EventID{}, c.before...)
			got, hasGap := forwarded(n, c.last, c.response...)
			if diff := cmp.Diff(c.want, got); diff != "" || hasGap != c.hasGap {
				t.Errorf("gap %t, %s", hasGap, diff)
			}
		})
	}
}

func consecutive(n int) []int64 {
	numbers := make([]int64, n)
	for i := range numbers {
		numbers[i] = int64(i)
	}
	return numbers
}
