package matcher_test

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/wigeonstand/wigeonstand/internal/matcher"
)

func accounts(n int) []matcher.AccountKeys {
	out := make([]matcher.AccountKeys, n)
	for i := range out {
		name := fmt.Sprintf("account-%d", i)
		out[i] = matcher.AccountKeys{Account: matcher.Account{Name: name}, Keys: []string{"sk-" + name + "-primary", "sk-" + name + "-second"}}
	}
	return out
}

// Guards against a key that finds another account, or none while it is held.
func TestAccountIsTheHolderOfTheKey(t *testing.T) {
	held := accounts(10_000)
	held[7].Keys = nil // All its keys have been withdrawn.
	table, err := matcher.New(1, matcher.Limits{}, nil, nil).WithAccounts(held)
	if err != nil {
		t.Fatal(err)
	}
	for _, a := range held {
		for _, key := range a.Keys {
			if got, isKnown := table.Account(key); !isKnown || got.Name != a.Name {
				t.Errorf("%s: got %+v", a.Name, got)
			}
		}
	}
	for _, key := range []string{"", "sk-account-7-primary", "sk-account-1-primar", "sk-account-1-primaryy", "SK-account-1-primary"} {
		if got, isKnown := table.Account(key); isKnown {
			t.Errorf("%q identifies %+v", key, got)
		}
	}
}

// Guards against configurations that leave open whose key it is.
func TestAmbiguousAccountsAreRejected(t *testing.T) {
	account := func(name string, keys ...string) matcher.AccountKeys {
		return matcher.AccountKeys{Account: matcher.Account{Name: name}, Keys: keys}
	}
	for name, tc := range map[string]struct {
		accounts  []matcher.AccountKeys
		isValid   bool
		hasAnyone bool
	}{
		"none":            {nil, true, false},
		"without keys":    {[]matcher.AccountKeys{account("a")}, true, true},
		"repeated key":    {[]matcher.AccountKeys{account("a", "k", "k")}, true, true},
		"common key":      {[]matcher.AccountKeys{account("a", "k"), account("b", "l", "k")}, false, false},
		"name held twice": {[]matcher.AccountKeys{account("a", "k"), account("a", "l")}, false, false},
	} {
		table, err := matcher.New(1, matcher.Limits{}, nil, nil).WithAccounts(tc.accounts)
		if diff := cmp.Diff(tc.isValid, err == nil); diff != "" {
			t.Error(name, diff)
		}
		if err == nil {
			if diff := cmp.Diff(tc.hasAnyone, table.HasAccounts()); diff != "" {
				t.Error(name, diff)
			}
		}
	}
}

func BenchmarkAccount(b *testing.B) {
	held := accounts(500)
	table, err := matcher.New(1, matcher.Limits{}, nil, nil).WithAccounts(held)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, isKnown := table.Account(held[i%len(held)].Keys[1]); !isKnown {
			b.Fatal("unknown key")
		}
	}
}
