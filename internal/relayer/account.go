package relayer

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/wigeonstand/wigeonstand/internal/admitter"
	"github.com/wigeonstand/wigeonstand/internal/answerer"
)

// errOtherAccount means that the previous turn is another account's. The caller is told that the
// turn does not exist.
var errOtherAccount = eris.New("the turn is another account's")

// authenticate finds the account that holds the caller's key and drops the key. It reports
// whether the request may go on; if not, it has been refused.
func (x *exchange) authenticate(r *http.Request) bool {
	key := x.call.Key
	x.call.Key = ""
	if !x.table.HasAccounts() {
		return true
	}
	x.call.Credentials = nil
	if key != "" && x.IsConfigurationDoubtful != nil && x.IsConfigurationDoubtful() {
		x.refuse(answerer.New(answerer.StoreUnavailable, "it can't be confirmed that the key is valid").WithRetryAfter(shortRetryAfter), "Unconfirmed")
		return false
	}
	account, isKnown := x.table.Account(key)
	if isKnown {
		x.account = account
		return true
	}
	if x.route.Public {
		return true
	}
	x.writer.Header().Set("WWW-Authenticate", "Bearer")
	e, reason := answerer.New(answerer.Unauthenticated, "the key is unknown"), "UnknownKey"
	if key == "" {
		e, reason = answerer.New(answerer.Unauthenticated, "the route requires exactly one key, in the form \"Authorization: Bearer KEY\""), "NoKey"
	}
	if r.ContentLength == 0 {
		x.refuse(e, reason)
		return false
	}
	// The body is not waited for.
	x.refuseUnread(e, reason)
	x.discardBody(r)
	return false
}

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
