package storer

import "time"

// The platform's HTTP API, with JSON bodies in Pascal case and a bearer key:
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
// The status codes 429 and 503 mean that the request was not run.
const (
	PathCommit    = "/table/commit"
	PathRead      = "/table/read"
	PathScan      = "/table/scan"
	PathObjects   = "/objects"
	PathInstances = "/instances"
	PathFaults    = "/faults"
)

// ReadRequest selects rows by key.
type ReadRequest struct{ Keys []string }

// ScanRequest selects rows by key prefix.
type ScanRequest struct {
	Prefix string
	After  string
	Limit  int
}

// ReadResponse is the response to a ReadRequest and to a ScanRequest.
type ReadResponse struct{ Rows []Row }

// ObjectList is a list of object keys.
type ObjectList struct{ Keys []string }

// ListingPage is the list of instances.
type ListingPage struct{ Instances []Listing }

// Faults sets the failures that the stand-in platform injects.
type Faults struct {
	// Outage rejects every request with 503.
	Outage bool
	// Silent accepts connections and never responds.
	Silent bool
	// Delay is added to every response.
	Delay time.Duration
	// LoseAnswers is the fraction of writes, 0 to 1, that take effect and whose
	// connection is then closed without a response.
	LoseAnswers float64
	// ListLag is the staleness of the list of instances.
	ListLag time.Duration
}
