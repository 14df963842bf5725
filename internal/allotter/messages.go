package allotter

import "net/netip"

const (
	// methodIssue and methodIntroduce are short because requests for permits are frequent.
	methodIssue     = "Allot"
	methodIntroduce = "AllotIntroduce"
)

// item asks for one permit.
type item struct {
	_       struct{} `cbor:",toarray"`
	Account string
	// Version is that of the configuration that states the quota, and Quota the number of
	// requests in a window, in thousandths.
	Version int64
	Quota   int64
	// Program and Route are hashes; Program is zero for a request outside a program.
	Program uint32
	Route   uint16
	// IsUnderWay is set if the program is known to have started.
	IsUnderWay bool
}

// issueRequest asks an issuer for permits.
type issueRequest struct {
	_     struct{} `cbor:",toarray"`
	Items []item
}

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

// result is the decision about one item.
type result struct {
	_    struct{} `cbor:",toarray"`
	Code code
	// Wait is the time in milliseconds until there will be room.
	Wait uint16
}

// issueResponse has one result for each item.
type issueResponse struct {
	_       struct{} `cbor:",toarray"`
	Results []result
	// Issuers are the addresses of the issuers of the first account that this instance may
	// not issue permits for.
	Issuers []netip.AddrPort
}

// introduction says that an instance begins to issue permits.
type introduction struct {
	_                     struct{} `cbor:",toarray"`
	Instance, Incarnation string
}

// introductionResponse says whether the instance is in the list of the one that responds,
// which therefore issues no permits in its place.
type introductionResponse struct {
	_        struct{} `cbor:",toarray"`
	IsListed bool
}
