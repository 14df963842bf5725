package opener_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/opener"
)

// Guards against rows that grant something although they are not a valid right: they
// must be told apart from those of a later version, which must not be overwritten.
func TestInvalidRowsAreRejected(t *testing.T) {
	valid := opener.Right{Holder: "a", Tenure: "a/0/0", Witnesses: []string{"b", "c"}, Share: 250, Lifted: []uint64{7}}
	value, err := valid.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := opener.Decode(value)
	if err != nil {
		t.Fatal(err)
	}
	valid.Format = decoded.Format
	if diff := cmp.Diff(valid, decoded); diff != "" {
		t.Error(diff)
	}
	for n := range value {
		if _, err := opener.Decode(value[:n]); !errors.Is(err, opener.ErrMalformed) {
			t.Errorf("%d of %d bytes: %v", n, len(value), err)
		}
	}
	for name, change := range map[string]func(*opener.Right){
		"share above one":      func(r *opener.Right) { r.Share = 1001 },
		"no share":             func(r *opener.Right) { r.Share = 0 },
		"negative share":       func(r *opener.Right) { r.Share = -1 },
		"no holder":            func(r *opener.Right) { r.Holder = "" },
		"no tenure":            func(r *opener.Right) { r.Tenure = "" },
		"one witness":          func(r *opener.Right) { r.Witnesses = []string{"b"} },
		"one witness twice":    func(r *opener.Right) { r.Witnesses = []string{"b", "b"} },
		"holder as a witness":  func(r *opener.Right) { r.Witnesses = []string{"a", "b"} },
		"former without names": func(r *opener.Right) { r.Former = &opener.Former{} },
		"negative deduction":   func(r *opener.Right) { r.Deducted = -1 },
		"no overflow":          func(r *opener.Right) { r.Overflow = 3 },
		"too many lifted":      func(r *opener.Right) { r.Lifted = make([]uint64, 3001) },
	} {
		bad := valid
		change(&bad)
		value, err := bad.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := opener.Decode(value); !errors.Is(err, opener.ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := opener.Decode([]byte{0xa1, 0x01, 0x03}); !errors.Is(err, opener.ErrLaterFormat) {
		t.Errorf("format 3: %v", err)
	}
}

// Guards against an opening that uses more than the bookkeeper withheld.
func TestAllowanceIsWithheld(t *testing.T) {
	for _, budget := range []int64{0, 1, 3, 997, 1 << 62} {
		for _, share := range []int64{1, 250, 333, 1000} {
			if allowance, withheld := opener.Allowance(budget, share), opener.Withheld(budget, share); allowance > withheld || withheld > budget {
				t.Errorf("budget %d, share %d: %d of %d withheld", budget, share, allowance, withheld)
			}
		}
	}
}
