package relayer

import (
	"net/http"

	"github.com/wigeonstand/wigeonstand/internal/answerer"
)

// authenticate finds the account that holds the caller's key and drops the key. It reports
// whether the request may go on; if not, it has been refused.
func (x *exchange) authenticate() bool {
	key := x.call.Key
	x.call.Key = ""
	if !x.table.HasAccounts() {
		return true
	}
	x.call.Credentials = nil
	account, isKnown := x.table.Account(key)
	if isKnown {
		x.account = account
		return true
	}
	if x.route.Public {
		return true
	}
	// Otherwise the server reads a body of up to 256 KiB before it sends the response.
	_ = http.NewResponseController(x.writer).EnableFullDuplex() // Without it the refusal is only later.
	x.writer.Header().Set("WWW-Authenticate", "Bearer")
	if key == "" {
		x.refuse(answerer.New(answerer.Unauthenticated, "the route requires exactly one key, in the form \"Authorization: Bearer KEY\""), "NoKey")
		return false
	}
	x.refuse(answerer.New(answerer.Unauthenticated, "the key is unknown"), "UnknownKey")
	return false
}

// accountName returns the name of the account that sent the request, or "" if there is none.
func (x *exchange) accountName() string {
	if x.account == nil {
		return ""
	}
	return x.account.Name
}
