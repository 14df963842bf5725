package relayer

import (
	"net/http"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
	"github.com/wigeonstand/wigeonstand/internal/splitter"
)

// Call holds the decoded header of a caller's request.
type Call struct {
	// ID identifies this attempt of the caller and is never reused. StatedID is the text that the caller
	// stated, of any length, which its response names.
	ID       string
	StatedID string
	Method   string
	Host     string
	// Target is the request target as received; Path is its path.
	Target string
	Path   string
	// Header is the part of the caller's header that is forwarded to the endpoint.
	Header http.Header
	// Key is the caller's key; empty if the header has none, or not exactly one.
	Key string
	// Credentials holds the header values with the key. They are forwarded only in deployments
	// without accounts, whose endpoints may need them.
	Credentials []string
	// Timeout is how long the caller waits. It is valid only if HasTimeout is set.
	Timeout    time.Duration
	HasTimeout bool

	// Program is the ID of the program; empty for a request outside a program.
	Program string
	// Session identifies the line of turns within the program; empty if it has one
	// line.
	Session string
	// ProgramTimeLeft is the time until the program's deadline, negative after it.
	// It is valid only if HasProgramDeadline is set.
	ProgramTimeLeft    time.Duration
	HasProgramDeadline bool
	// Budget is the number of tokens that all turns of the program together may
	// generate. It is valid only if HasBudget is set.
	Budget    int64
	HasBudget bool
	// PromptTokens is the size of the turn's prompt, MaxTokens the limit of its
	// output.
	PromptTokens int64
	MaxTokens    int64
	// SharedPart is the ID of the first part of the prompt if other prompts begin with
	// it, too, and SharedTokens its size.
	SharedPart   string
	SharedTokens int64
	// PreviousTurn is the ID of the turn that this turn continues; empty if there
	// is none.
	PreviousTurn string
	// LastEvent is the event after which the caller resumes a stream; not set to start
	// at the first.
	LastEvent splitter.EventID
	// Object identifies what a request concerns; empty if unknown. Requests with the same one run
	// faster at the same endpoint.
	Object string
	// Resumes is the ID of the request that brought the first event of a stream that this
	// one resumes; empty if it resumes none.
	Resumes string
}

// Dispatch holds what is added to the header of the request to the endpoint.
type Dispatch struct {
	// Endpoint is the ID of the endpoint that must serve the request.
	Endpoint string
	// Timeout is the time until the endpoint's deadline; omitted if zero.
	Timeout time.Duration
	// Priority is the priority in the endpoint's queue; omitted if negative.
	Priority int
	// Account is the name of the account that sent the request; omitted if empty.
	Account string
	// LastEvent is the event after which the stream resumes; not set to start at the
	// first.
	LastEvent splitter.EventID
}

// The faults of stated loads. A malformed load is not used at all; of one with an invalid
// slot count or pace the other figures are used, and further figures are ignored.
const (
	LoadMalformed      = "Malformed"
	LoadInvalidFigure  = "InvalidFigure"
	LoadFurtherFigures = "FurtherFigures"
)

// ResponseHead holds the decoded header of an endpoint's response.
type ResponseHead struct {
	// ID is the ID of the request; empty if the header does not give it.
	ID string
	// IsSigned is true if the header has an endpoint's signature.
	IsSigned bool
	// IsNotRun is true if the endpoint states that the request did not run.
	IsNotRun bool
	// Load is the load that the endpoint reports; nil if it reports none.
	Load *registrar.Load
	// LoadFault names what is wrong with the load as stated; empty for nothing.
	LoadFault string
	// IsEndpointLeaving is true if the endpoint states that it is leaving and that
	// it must get no more requests.
	IsEndpointLeaving bool
	// Limit is the limit that the endpoint states for requests of all instances.
	Limit registrar.Limit
}

// Dialect decodes and encodes the platform's headers.
type Dialect interface {
	// DecodeCall decodes the header of a caller's request.
	DecodeCall(r *http.Request) (Call, error)
	// EncodeDispatch returns the header of the request to the endpoint.
	EncodeDispatch(c *Call, d Dispatch) http.Header
	// DecodeResponseHead decodes the header of an endpoint's response.
	DecodeResponseHead(status int, header http.Header) ResponseHead
	// ReportTarget is the request target at which an endpoint reports on itself, and DecodeReport
	// returns the start time of its process that a report states; zero if it states none.
	ReportTarget() string
	DecodeReport(body []byte) time.Time
	// EncodeResponse copies the header of an endpoint's response into the header of
	// the response to the caller.
	EncodeResponse(from, to http.Header)
	// EncodeRefusal sets the header of a response that refuses the request with the
	// given ID; after is the Retry-After time, omitted if zero.
	EncodeRefusal(to http.Header, id string, after time.Duration)
}
