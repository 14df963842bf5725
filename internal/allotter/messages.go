package allotter

import (
	"net/netip"
	"time"
)

const (
	// methodIssue is short because requests for permits are frequent.
	methodIssue     = "Q"
	methodIntroduce = "AllotIntroduceRow"
	// methodIntroduceProcess is for instances of builds that do not state in their rows what they
	// have read.
	methodIntroduceProcess = "AllotIntroduce"
)

// item asks for one permit.
type item struct {
	_       struct{} `cbor:",toarray"`
	Account string
	// Version is that of the configuration that states the quota, and Quota the number of
	// requests in a window, times quotaScale.
	Version int64
	Quota   int64
	// Program and Route are hashes. Program is zero for a request outside a program, and
	// Route for one of a program that is known to have started.
	Program uint32
	Route   uint16
}

// quotaScale is the factor of quotas in messages.
const quotaScale = 10

// issueRequest asks an issuer for permits.
type issueRequest []item

// code is an issuer's decision.
type code uint8

const (
	granted code = iota
	// programRefused means that the account has no capacity for a further program.
	programRefused
	// windowFull means that this issuer's part of the bound is used up.
	windowFull
	// notIssuer means that the instance may not issue permits of the account now.
	notIssuer
)

// result is the decision about one item: its code, and the time in milliseconds until there will
// be room, as one number, which takes one byte for a grant.
type result uint32

const waitBits = 16

func newResult(c code, wait time.Duration) result {
	return result(c)<<waitBits | result(min(max(wait.Milliseconds(), 0), 1<<waitBits-1))
}

func (r result) code() code { return code(r >> waitBits) }

func (r result) wait() time.Duration {
	return time.Duration(r&(1<<waitBits-1)) * time.Millisecond
}

// issueResponse has one result for each item.
type issueResponse struct {
	_       struct{} `cbor:",toarray"`
	Results []result
	// Issuers are the addresses of the issuers of the first account that this instance may
	// not issue permits for.
	Issuers []netip.AddrPort
}

// processIntroduction says that a process of an instance begins to issue permits.
type processIntroduction struct {
	_                     struct{} `cbor:",toarray"`
	Instance, Incarnation string
}

// introduction says that an instance begins to issue permits, with its row, which has existed since
// the version.
type introduction struct {
	_                     struct{} `cbor:",toarray"`
	Instance, Incarnation string
	ExistsFrom            int64
}

// introductionResponse says whether the instance is in the table of the one that responds,
// which therefore issues no permits in its place.
type introductionResponse struct {
	_        struct{} `cbor:",toarray"`
	IsListed bool
}
