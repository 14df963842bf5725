package relayer

import (
	"context"
	"net/http"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
	"github.com/wigeonstand/wigeonstand/internal/matcher"
)

// refusal says why the configuration does not allow a call.
type refusal struct {
	err    *answerer.Error
	reason string
}

// match finds the route of the call and the account that holds its key, drops the key, and compares the
// stated length of the body with the limit. It reports whether the request may go on; if not, it has
// been refused.
func (x *exchange) match(r *http.Request) bool {
	key := x.call.Key
	x.call.Key = ""
	refused := x.matchTable(key, r.ContentLength)
	// The newest configuration may allow the request.
	if refused != nil && refused.err.Kind != answerer.StoreUnavailable && x.ConfirmConfiguration != nil {
		if x.ConfirmConfiguration(r.Context()) {
			x.table = x.Tables.Table()
			refused = x.matchTable(key, r.ContentLength)
		} else {
			refused = newUnconfirmed("it can't be confirmed that the configuration does not allow the request")
		}
	}
	if x.table.HasAccounts() {
		x.call.Credentials = nil
	}
	if refused == nil {
		return true
	}
	if refused.err.Kind != answerer.Unauthenticated {
		x.refuse(refused.err, refused.reason)
		return false
	}
	x.writer.Header().Set("WWW-Authenticate", "Bearer")
	if r.ContentLength == 0 {
		x.refuse(refused.err, refused.reason)
		return false
	}
	// The body is not waited for.
	x.refuseUnread(refused.err, refused.reason)
	x.discardBody(r)
	return false
}

// matchTable finds the route and the account in the table. It returns nil if the table allows the call
// with a body of the length, which is negative if it is not known.
func (x *exchange) matchTable(key string, bodyLength int64) *refusal {
	x.account = nil
	if x.route = x.table.Match(x.call.Host, x.call.Path); x.route == nil {
		return &refusal{answerer.New(answerer.NotFound, "no route matches the request"), "NoRoute"}
	}
	if refused := x.findAccount(key); refused != nil {
		return refused
	}
	if limit := maxBodyBytes(x.table); bodyLength > limit {
		return &refusal{answerer.New(answerer.TooLarge, "the body has %d bytes, more than the limit of %d", bodyLength, limit), "BodyLength"}
	}
	return nil
}

// findAccount finds the account that holds the key.
func (x *exchange) findAccount(key string) *refusal {
	if !x.table.HasAccounts() {
		return nil
	}
	if key != "" && x.IsConfigurationDoubtful != nil && x.IsConfigurationDoubtful() {
		return newUnconfirmed("it can't be confirmed that the key is valid")
	}
	account, isKnown := x.table.Account(key)
	switch {
	case isKnown:
		x.account = account
		return nil
	case x.route.Public:
		return nil
	case key == "":
		return &refusal{answerer.New(answerer.Unauthenticated, "the route requires exactly one key, in the form \"Authorization: Bearer KEY\""), "NoKey"}
	}
	return &refusal{answerer.New(answerer.Unauthenticated, "the key is unknown"), "UnknownKey"}
}

// isBodyLimitConfirmed reports whether the newest configuration allows no larger body than the limit.
func (x *exchange) isBodyLimitConfirmed(ctx context.Context, limit int64) bool {
	return x.ConfirmConfiguration == nil || x.ConfirmConfiguration(ctx) && maxBodyBytes(x.Tables.Table()) <= limit
}

func maxBodyBytes(table *matcher.Table) int64 {
	if table.Limits.MaxBodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return table.Limits.MaxBodyBytes
}

func newUnconfirmed(detail string) *refusal {
	return &refusal{answerer.New(answerer.StoreUnavailable, "%s", detail).WithRetryAfter(shortRetryAfter), "Unconfirmed"}
}
