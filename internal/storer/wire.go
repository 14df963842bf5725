package storer

import "time"

// The platform serves, as JSON over HTTP with Pascal-case fields and a bearer key:
//
//	POST /table/commit   Commit       -> Result; 409 when a condition failed
//	POST /table/read     ReadRequest  -> ReadResponse
//	POST /table/scan     ScanRequest  -> ReadResponse
//	PUT  /objects/KEY    body         -> 204
//	GET  /objects/KEY    -> body; 404
//	DELETE /objects/KEY  -> 204
//	GET  /objects?Prefix=P&Limit=N -> ObjectList
//	GET  /instances      -> ListingPage
//	POST /instances      Listing      -> 204 (an instance's launcher registers it)
//	GET  /faults, PUT /faults  Faults -> 204 (stand-in only)
//
// 429 and 503 mean that the request was not run.
const (
	PathCommit    = "/table/commit"
	PathRead      = "/table/read"
	PathScan      = "/table/scan"
	PathObjects   = "/objects"
	PathInstances = "/instances"
	PathFaults    = "/faults"
)

// ReadRequest asks for rows by key.
type ReadRequest struct{ Keys []string }

// ScanRequest asks for rows by prefix.
type ScanRequest struct {
	Prefix string
	After  string
	Limit  int
}

// ReadResponse carries rows.
type ReadResponse struct{ Rows []Row }

// ObjectList carries object keys.
type ObjectList struct{ Keys []string }

// ListingPage carries the lagging list of instances.
type ListingPage struct{ Instances []Listing }

// Faults sets how the stand-in platform fails from now on.
type Faults struct {
	// Outage refuses every request with 503.
	Outage bool
	// Silent accepts connections and never answers.
	Silent bool
	// Delay is added to every answer.
	Delay time.Duration
	// LoseAnswers is the share of writes, 0 to 1, that take effect and whose
	// connection is then closed without an answer.
	LoseAnswers float64
	// ListLag is how long the list of instances lags.
	ListLag time.Duration
}
