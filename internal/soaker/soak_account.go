package soaker

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"github.com/wigeonstand/wigeonstand/platform/standin"
)

// accountCount is the number of accounts of callers, and lossAccounts that in a day of losses.
const (
	accountCount = 3
	lossAccounts = 6
)

// accounts makes the accounts of configurations. Each one gives an account, in turn, a new key
// beside its last one, and withdraws the key that the account before it had kept in the same way.
type accounts struct {
	// rate is the quota of each account in requests a second; zero for none.
	rate float64

	mu sync.Mutex
	// issued is the number of the newest key of each account.
	issued []int
	// changes is the number of configurations so far.
	changes int
}

func newAccounts(count int, rate float64) *accounts {
	return &accounts{rate: rate, issued: make([]int, count)}
}

func (a *accounts) count() int { return len(a.issued) }

func accountName(i int) string { return fmt.Sprint("account-", i) }

func accountKey(i, number int) string { return fmt.Sprintf("sk-%d-%d", i, number) }

// next returns the accounts of the next configuration.
func (a *accounts) next() []standin.Account {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := a.changes % a.count()
	a.changes++
	a.issued[changed]++
	var out []standin.Account
	for i := range a.issued {
		account := standin.Account{Name: accountName(i), Keys: []string{accountKey(i, a.issued[i])}, Rate: a.rate}
		if i == changed {
			account.Keys = append(account.Keys, accountKey(i, a.issued[i]-1))
		}
		out = append(out, account)
	}
	return out
}

// newestKey returns the newest key of the account, and withdrawnKey one that has been withdrawn
// or was never given.
func (a *accounts) newestKey(account int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return accountKey(account, a.issued[account])
}

func (a *accounts) withdrawnKey(account int) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return accountKey(account, a.issued[account]-2)
}

// checkAccount checks that the endpoints got the name of the account that holds the call's key,
// and not the key.
func (c *caller) checkAccount(call standin.Call) {
	for _, run := range c.runs(call.ID) {
		c.count(c.report.Checks, "account")
		if owner := strings.Split(call.Key, "-")[1]; run.Account != "account-"+owner {
			c.violate("ACCOUNT: %s of account-%s ran as a request of %q", call.ID, owner, run.Account)
		}
		if run.HasCredentials {
			c.violate("KEY: the endpoint of %s got the key", call.ID)
		}
	}
}

// checkWithdrawn checks that no instance accepts a withdrawn key after the faults.
func (c *caller) checkWithdrawn(ctx context.Context) {
	for range lastTries {
		c.count(c.report.Checks, "withdrawn key")
		call := standin.Call{Path: standin.PathLookup + "x", Key: c.accounts.withdrawnKey(c.account())}
		if reply, id := c.do(ctx, call); reply.Status != http.StatusUnauthorized {
			c.violate("KEY: %s with a withdrawn key was answered %d", id, reply.Status)
		}
	}
}
