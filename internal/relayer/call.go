package relayer

import (
	"net/http"
	"time"

	"github.com/wigeonstand/wigeonstand/internal/registrar"
)

// Call is a caller's request, without its body.
type Call struct {
	// ID is the caller's name for this attempt, unique for good.
	ID     string
	Method string
	Host   string
	// Target is the request target as it was sent; Path is its path.
	Target string
	Path   string
	// Header is what an endpoint is to get of the caller's header.
	Header http.Header
	// Timeout is how long the caller waits; zero if it does not say.
	Timeout time.Duration

	// Program names the program; empty for a request without one.
	Program string
	// ProgramTimeLeft is the time until the program should end, if HasProgramDeadline;
	// negative for one that is late.
	ProgramTimeLeft    time.Duration
	HasProgramDeadline bool
	// Budget is the number of tokens that all turns of the program may
	// generate; zero for a request without a budget.
	Budget int64
	// PromptTokens and MaxTokens are the sizes of the turn's prompt and of its
	// longest answer.
	PromptTokens int64
	MaxTokens    int64
	// PreviousTurn is the ID of the turn that this one continues; empty for none.
	PreviousTurn string
	// LastEventID is the event after which the caller resumes a stream.
	LastEventID int64
}

// IsPastDeadline says whether the program is past the time at which it should end.
func (c *Call) IsPastDeadline() bool { return c.HasProgramDeadline && c.ProgramTimeLeft <= 0 }

// Dispatch is what the system adds for the endpoint.
type Dispatch struct {
	// Endpoint is the ID of the endpoint that must answer.
	Endpoint string
	// Timeout is how long the endpoint may work.
	Timeout time.Duration
	// Priority is the rank in the endpoint's queue; negative to leave it out.
	Priority int
	// LastEventID is the event after which a stream goes on; zero for its start.
	LastEventID int64
}

// ResponseHead is what the header of an endpoint's answer says.
type ResponseHead struct {
	// ID is that of the request answered; empty if the answer does not say.
	ID string
	// IsSigned is true if the answer carries an endpoint's signature.
	IsSigned bool
	// IsNotRun is true if the endpoint states that it did not run the request.
	IsNotRun bool
	// Load is what the endpoint says of its load; nil if it does not.
	Load *registrar.Load
}

// Dialect translates headers.
type Dialect interface {
	// DecodeCall decodes the header of a caller's request.
	DecodeCall(r *http.Request) (Call, error)
	// EncodeDispatch returns the header of the request to the endpoint.
	EncodeDispatch(c *Call, d Dispatch) http.Header
	// DecodeResponseHead decodes the header of an endpoint's answer.
	DecodeResponseHead(status int, header http.Header) ResponseHead
	// EncodeResponse copies an endpoint's header into the answer to the caller.
	EncodeResponse(from, to http.Header)
	// EncodeRefusal sets the header of an answer of the system's own.
	EncodeRefusal(to http.Header, id string, after time.Duration)
}
