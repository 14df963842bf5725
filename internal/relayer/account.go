package relayer

import (
	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
)

// errOtherAccount means that the previous turn is another account's. The caller is told that the
// turn does not exist.
var errOtherAccount = eris.New("the turn is another account's")

// accountName returns the name of the account that sent the request, or "" if there is none.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}

// priority returns the effective priority of the request, 0 for the highest: the account's if it
// has one, otherwise the route's. Where accounts are ranked, no account is starved.
func (x *exchange) priority() int {
	priority := x.route.Priority
	if x.account == nil || !x.table.RanksAccounts() {
		return priority
	}
	if x.account.HasPriority {
		priority = x.account.Priority
	}
	return admitter.AccountPriority(priority, xxhash.Sum64String(x.placementKey()))
}
